package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection
	// fails: a peer behind a network cut sends no reset.
	unackedTimeout = 3 * time.Second
	// keepAliveInterval and keepAliveProbes detect a dead connection that only receives.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Dialer returns a TCP dialer with the given dial timeout. Its connections fail within
// seconds if the network to the peer is cut, whether they send or only receive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		Control:         setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
}

// setUnackedTimeout sets the socket option by which the kernel closes a connection whose
// peer acknowledges nothing for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error

	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return optionErr
}
