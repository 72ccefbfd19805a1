package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

func TestNodeDeliversMessagesBothWaysOverOneConnection(t *testing.T) {
	dir := writeKeys(t, "a", "b")
	a, b := newNode(t, dir, "a"), newNode(t, dir, "b")
	atA, atB := make(chan textMessage, 1), make(chan Sender, 1)

	Handle(a, testKind, func(_ Sender, msg textMessage) { atA <- msg })
	Handle(b, testKind, func(from Sender, msg textMessage) {
		if got, want := msg.Text, "ping"; got != want {
			t.Errorf("text: got %q, want %q", got, want)
		}

		atB <- from
	})
	start(t, a)
	start(t, b)

	if err := a.Send(Target{ID: "b", Address: b.Advertise}, testKind, textMessage{Text: "ping"}); err != nil {
		t.Fatal(err)
	}

	from := <-atB
	if got, want := from, (Sender{id: "a", incarnation: 7, domain: "ballerup-a", address: a.Advertise}); got != want {
		t.Errorf("sender: got %+v, want %+v", got, want)
	}

	if err := b.Send(from.Target(), testKind, textMessage{Text: "pong"}); err != nil {
		t.Fatal(err)
	}

	if got, want := (<-atA).Text, "pong"; got != want {
		t.Errorf("reply: got %q, want %q", got, want)
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if got, want := len(a.conns), 1; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

func TestCall(t *testing.T) {
	dir := writeKeys(t, "a", "b")
	a, b := newNode(t, dir, "a"), newNode(t, dir, "b")

	HandleCall(b, testKind, func(_ context.Context, _ Sender, req textMessage) (textMessage, error) {
		if req.Text == "fail" {
			return textMessage{}, merry.New("no such message")
		}

		return textMessage{Text: req.Text + "!"}, nil
	})
	start(t, a)
	start(t, b)

	to := Target{Address: b.Advertise}

	resp, err := Call[textMessage, textMessage](t.Context(), a, to, testKind, textMessage{Text: "hi"})
	if err != nil {
		t.Fatal(err)
	}

	if got, want := resp.Text, "hi!"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}

	var remote *RemoteError
	if _, err := Call[textMessage, textMessage](t.Context(), a, to, testKind, textMessage{Text: "fail"}); !errors.As(err, &remote) {
		t.Errorf("failing handler: got %v, want a RemoteError", err)
	}

	if _, err := Call[textMessage, textMessage](t.Context(), a, to, testKind+1, textMessage{}); !errors.As(err, &remote) {
		t.Errorf("unknown kind: got %v, want a RemoteError", err)
	}
}

func TestCallTimesOutByNodeClock(t *testing.T) {
	dir := writeKeys(t, "a", "b")
	a, b := newNode(t, dir, "a"), newNode(t, dir, "b")
	manual := clock.NewManual(clock.System{}.Now())
	a.Clock = manual
	received := make(chan struct{})
	release := make(chan struct{})

	HandleCall(b, testKind, func(context.Context, Sender, textMessage) (textMessage, error) {
		close(received)
		<-release

		return textMessage{}, nil
	})
	start(t, a)
	start(t, b)
	t.Cleanup(func() { close(release) })

	go func() {
		<-received
		manual.Advance(defaultCallTimeout)
	}()

	if _, err := Call[textMessage, textMessage](t.Context(), a, Target{Address: b.Advertise}, testKind, textMessage{}); !errors.Is(err, ErrTimeout) {
		t.Errorf("error: got %v, want %v", err, ErrTimeout)
	}
}

func TestSendRejectsInvalidTargetOrSize(t *testing.T) {
	n := &Node{ID: "a", Advertise: "127.0.0.1:1", MaxBody: 8, Clock: clock.System{}}

	tests := []struct {
		desc string
		to   Target
		msg  textMessage
		want error
	}{
		{desc: "no address", to: Target{ID: "b"}, want: ErrNoAddress},
		{desc: "own address", to: Target{Address: "127.0.0.1:1"}, want: ErrSelf},
		{desc: "own ID", to: Target{ID: "a", Address: "127.0.0.1:2"}, want: ErrSelf},
		{desc: "too large", to: Target{Address: "127.0.0.1:2"}, msg: textMessage{Text: "more than eight"}, want: ErrTooLarge},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := n.Send(tt.to, testKind, tt.msg); !errors.Is(got, tt.want) {
				t.Errorf("error: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSendQueuesAreBounded(t *testing.T) {
	n := &Node{ID: "a", QueueLength: 2, Droppable: []Kind{testKind + 1}, Clock: clock.System{}}
	to := Target{Address: "127.0.0.1:2"}

	for i := range 3 {
		err := n.Send(to, testKind, textMessage{})
		if got, want := errors.Is(err, ErrQueueFull), i == 2; got != want {
			t.Errorf("message %d refused: got %v, want %v", i, got, want)
		}

		if err := n.Send(to, testKind+1, textMessage{Text: string(rune('0' + i))}); err != nil {
			t.Errorf("droppable message %d: got %v, want nil", i, err)
		}
	}

	if got, want := len(n.links[to.Address].takeAll()), 4; got != want {
		t.Errorf("queued: got %d, want %d", got, want)
	}
}

// shortWaitClock is a clock on which waits of up to backoffMax end immediately.
type shortWaitClock struct {
	clock.System
}

func (c shortWaitClock) After(d time.Duration) <-chan time.Time {
	if d > backoffMax {
		return c.System.After(d)
	}

	return c.System.After(0)
}

// failingListener returns an error from its first Accept.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, merry.New("too many open files")
	}

	return l.Listener.Accept()
}

func TestNodeAcceptsAfterFailedAccept(t *testing.T) {
	dir := writeKeys(t, "a", "b")
	a, b := newNode(t, dir, "a"), newNode(t, dir, "b")
	a.Clock = shortWaitClock{}
	a.Listener = &failingListener{Listener: a.Listener}
	got := make(chan textMessage, 1)

	Handle(a, testKind, func(_ Sender, msg textMessage) { got <- msg })
	start(t, a)
	start(t, b)

	if err := b.Send(Target{Address: a.Advertise}, testKind, textMessage{Text: "after"}); err != nil {
		t.Fatal(err)
	}

	if got, want := (<-got).Text, "after"; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
}

func TestCallFailsForUnreachableRemote(t *testing.T) {
	dir := writeKeys(t, "a", "b")
	a, b := newNode(t, dir, "a"), newNode(t, dir, "b")
	a.Clock = shortWaitClock{}
	a.CallTimeout = time.Hour
	_ = b.Listener.Close()
	start(t, a)

	if _, err := Call[textMessage, textMessage](t.Context(), a, Target{Address: b.Advertise}, testKind, textMessage{}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("error: got %v, want %v", err, ErrUnreachable)
	}
}
