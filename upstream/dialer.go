package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silenceTimeout is how long sent bytes, or keep-alive probes, may stay unacknowledged before a
	// connection fails: a peer behind a network cut sends no reset. It decides for both, whatever
	// the number of probes, and lets a sound peer be silent for a second or so.
	silenceTimeout = 3 * time.Second
	// keepAliveInterval is the time without traffic until the first probe and between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes make the probes alone give up after silenceTimeout.
	keepAliveProbes = int(silenceTimeout/keepAliveInterval) - 1
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
// peer acknowledges nothing for silenceTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error

	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return optionErr
}
