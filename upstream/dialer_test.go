package upstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against keep-alive settings that name another time than the one after which the kernel
// gives up: TCP_USER_TIMEOUT decides, whatever the number of probes.
func TestUserTimeoutAndKeepAliveNameOneTime(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()

	conn, err := Dialer(time.Second).DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()

	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}

	options := make(map[int]int)

	if err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			if options[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				t.Errorf("option %d: got %v, want its value", option, err)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}

	probes := time.Duration(options[unix.TCP_KEEPIDLE]+options[unix.TCP_KEEPINTVL]*options[unix.TCP_KEEPCNT]) * time.Second
	if got, want := probes, time.Duration(options[unix.TCP_USER_TIMEOUT])*time.Millisecond; got != want {
		t.Errorf("time until keep-alive gives up by its probes: got %v, want the user timeout of %v", got, want)
	}

	// A sound server may be silent for a second or so.
	if got, atLeast := probes, 2*time.Second; got < atLeast {
		t.Errorf("time until a silent connection fails: got %v, want at least %v", got, atLeast)
	}
}
