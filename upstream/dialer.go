package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silence is how long sent bytes may stay without acknowledgement: a peer that
	// is cut off resets nothing.
	silence = 3 * time.Second
	// probeEvery and probes find a connection dead that only receives.
	probeEvery = time.Second
	probes     = 3
)

// Dialer returns a dialer whose connections notice within seconds that the other
// side is cut off.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		Control:         boundSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes},
	}
}

// boundSilence makes the kernel give up on a peer that acknowledges nothing.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var optionErr error

	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return optionErr
}
