package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay without acknowledgement: a peer that
	// is cut off resets nothing.
	unackedTimeout = 3 * time.Second
	// keepAliveInterval and probes find a connection dead that only receives.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Dialer returns a dialer whose connections notice within seconds that the other
// side is cut off.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		Control:         setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
}

// setUnackedTimeout makes the kernel give up on a peer that acknowledges nothing.
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
