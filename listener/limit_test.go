package listener

import (
	"io"
	"net"
	"testing"
)

func TestLimitRefusesOverMaxAndRecovers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()

	refused := make(chan struct{}, 1)
	l := &Limit{
		Listener: inner, Max: 1, Refusal: []byte("busy"),
		OnRefused: func() { refused <- struct{}{} },
	}
	accepted := make(chan net.Conn, 2)

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()

	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}

		return c
	}

	first := dial()
	defer first.Close()
	firstAccepted := <-accepted

	second := dial()
	defer second.Close()
	<-refused

	if got, _ := io.ReadAll(second); string(got) != "busy" {
		t.Errorf("response over the limit: got %q, want %q", got, "busy")
	}

	firstAccepted.Close()
	firstAccepted.Close()

	if got, want := l.Open(), int64(0); got != want {
		t.Errorf("open after close: got %d, want %d", got, want)
	}

	third := dial()
	defer third.Close()
	<-accepted
}
