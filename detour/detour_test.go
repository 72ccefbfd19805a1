package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"monsoonlever/buffer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/upstream"
)

// helping is an instance on loopback that serves requests of others.
type helping struct {
	*Server

	listener net.Listener
	mu       sync.Mutex
	ran      int
}

// startHelping starts an instance that runs each request by run.
func startHelping(t *testing.T, run func(context.Context, forward.Sink) forward.DetourResult) *helping {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	h := &helping{listener: l}
	h.Server = &Server{Clock: clock.NewSteady(), Prepare: func(context.Context, forward.DetourRequest) (func(context.Context, forward.Sink) forward.DetourResult, *forward.Refusal) {
		return func(ctx context.Context, sink forward.Sink) forward.DetourResult {
			h.mu.Lock()
			h.ran++
			h.mu.Unlock()

			return run(ctx, sink)
		}, nil
	}}

	ctx, cancel := context.WithCancel(context.Background())

	var group sync.WaitGroup

	t.Cleanup(func() { cancel(); _ = l.Close(); group.Wait() })
	group.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			group.Go(func() {
				reader := bufio.NewReader(conn)
				_, _ = reader.Discard(len(Preface))
				h.Handle(ctx, conn, reader)
			})
		}
	})

	return h
}

func (h *helping) runs() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.ran
}

// clientOf returns a client that knows the instances at the addresses.
func clientOf(addresses ...string) *Client {
	c := &Client{Clock: clock.NewSteady(), Self: "entry-0", Helpers: &Helpers{Self: "entry-0"}, Dialer: upstream.Dialer(time.Second)}
	for i, address := range addresses {
		c.Helpers.Record(c.Clock.Now(), Helper{ID: fleet.InstanceID(rune('a' + i)), Address: address}, nil)
	}

	return c
}

func requestNow(c *Client) forward.DetourRequest {
	return forward.DetourRequest{
		Service: "api", Attempts: 1,
		Request: &forward.Request{ID: "r-1", Method: http.MethodPost, Host: "a.example", Target: "/x", Path: "/x", Arrived: c.Clock.Now()},
	}
}

// recorder is a sink that keeps what it gets.
type recorder struct {
	version fleet.Version
	mu      sync.Mutex
	status  int
	events  []string
}

func (r *recorder) WriteResponse(status int, _ http.Header, _ []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status

	return nil
}

func (r *recorder) StreamVersion(version fleet.Version) { r.version = version }

func (r *recorder) BeginStream(status int, _ http.Header) error {
	return r.WriteResponse(status, nil, nil)
}

func (r *recorder) WriteEvent(event []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, string(event))

	return nil
}

func (r *recorder) Refuse(forward.Refusal) {}

// Checks that a stream passes event by event, with its result.
func TestStreamPassesThroughOtherInstance(t *testing.T) {
	h := startHelping(t, func(_ context.Context, sink forward.Sink) forward.DetourResult {
		_ = sink.BeginStream(http.StatusOK, http.Header{"A": {"b"}})
		_ = sink.WriteEvent([]byte("id: 1\n\n"))
		_ = sink.WriteEvent([]byte("id: 2\n\n"))

		return forward.DetourResult{Servers: []string{"i-1"}, MayHaveRun: true}
	})
	c, sink := clientOf(h.listener.Addr().String()), &recorder{}

	result, err := c.Serve(context.Background(), requestNow(c), sink)
	if err != nil || result.Refusal != nil || len(result.Servers) != 1 || !result.MayHaveRun {
		t.Errorf("got %+v, %v, want it served by one server", result, err)
	}

	if sink.status != http.StatusOK || len(sink.events) != 2 {
		t.Errorf("got status %d and events %q, want 200 and two", sink.status, sink.events)
	}
}

// Guards against running a request whose offer was not confirmed, as by an instance that stood
// still until the caller's instance had given up.
func TestUnconfirmedOfferDoesNotRun(t *testing.T) {
	h := startHelping(t, func(context.Context, forward.Sink) forward.DetourResult { return forward.DetourResult{} })

	conn, err := net.Dial("tcp4", h.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	if _, err := io.WriteString(conn, Preface); err != nil {
		t.Fatal(err)
	}

	c := clientOf()
	if err := writeMessage(conn, c.makeOffer(requestNow(c))); err != nil {
		t.Fatal(err)
	}

	var reply frame
	if err := readMessage(conn, (*buffer.Budget)(nil).Reserve(), &reply); err != nil || reply.Kind != frameReady {
		t.Fatalf("reply: got %+v, %v, want ready", reply, err)
	}

	_ = conn.Close()

	for deadline := time.Now().Add(2 * time.Second); h.Served() > 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}

	if got, want := h.runs(), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Guards against a request that runs elsewhere although it may no longer be sent once an instance is ready
// to serve it.
func TestOfferThatMayNoLongerBeSentIsNotConfirmed(t *testing.T) {
	errSpent := errors.New("budget is spent")
	h := startHelping(t, func(context.Context, forward.Sink) forward.DetourResult { return forward.DetourResult{} })
	c := clientOf(h.listener.Addr().String())
	r := requestNow(c)
	r.BeforeConfirm = func() error { return errSpent }

	if _, err := c.Serve(t.Context(), r, &recorder{}); !errors.Is(err, errSpent) {
		t.Errorf("got %v, want %v", err, errSpent)
	}

	for h.Served() > 0 {
		time.Sleep(time.Millisecond)
	}

	if got := h.runs(); got != 0 {
		t.Errorf("runs: got %d, want none", got)
	}
}

// Guards against requests that wait for an instance which accepts connections and does not reply.
func TestSilentHelperIsPassedOver(t *testing.T) {
	hanging, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = hanging.Close() })

	h := startHelping(t, func(_ context.Context, sink forward.Sink) forward.DetourResult {
		_ = sink.WriteResponse(http.StatusOK, nil, nil)

		return forward.DetourResult{}
	})

	for range 8 {
		c, sink := clientOf(hanging.Addr().String(), h.listener.Addr().String()), &recorder{}
		began := time.Now()

		if _, err := c.Serve(context.Background(), requestNow(c), sink); err != nil || sink.status != http.StatusOK {
			t.Fatalf("got status %d, %v, want 200", sink.status, err)
		}

		if took := time.Since(began); took > time.Second {
			t.Errorf("got it after %v, want within a second", took)
		}
	}
}

// Guards against taking a request as not run after the instance that took it was killed.
func TestBrokenDetourMayHaveRun(t *testing.T) {
	h := startHelping(t, func(_ context.Context, sink forward.Sink) forward.DetourResult {
		s, _ := sink.(*frameSink)
		_ = s.conn.Close()

		return forward.DetourResult{}
	})
	c := clientOf(h.listener.Addr().String())

	_, err := c.Serve(context.Background(), requestNow(c), &recorder{})
	if errors.Is(err, forward.ErrNoHelper) || !errors.Is(err, upstream.ErrGarbled) {
		t.Errorf("got %v, want an error that wraps %v", err, upstream.ErrGarbled)
	}
}

// Guards against a backend server that works on for a caller who has left the other instance.
func TestLeftCallerCancelsRequestAtOtherInstance(t *testing.T) {
	cancelled := make(chan struct{})
	h := startHelping(t, func(ctx context.Context, _ forward.Sink) forward.DetourResult {
		<-ctx.Done()
		close(cancelled)

		return forward.DetourResult{}
	})
	c := clientOf(h.listener.Addr().String())

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)

	if _, err := c.Serve(ctx, requestNow(c), &recorder{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}

	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("500 ms after the caller left: the request still runs, want it cancelled")
	}
}

// Guards against the memory that requests of other instances take: those beyond the bound are
// declined, and counted no more once they have ended.
func TestServedRequestsAreBounded(t *testing.T) {
	var (
		group           sync.WaitGroup
		mu              sync.Mutex
		served, atATime int
	)

	release := make(chan struct{})
	h := startHelping(t, func(_ context.Context, sink forward.Sink) forward.DetourResult {
		mu.Lock()
		served++
		atATime = max(atATime, served)
		mu.Unlock()

		defer func() {
			mu.Lock()
			defer mu.Unlock()

			served--
		}()

		<-release
		_ = sink.WriteResponse(http.StatusOK, nil, nil)

		return forward.DetourResult{}
	})

	for range maxServed + 20 {
		group.Go(func() {
			c := clientOf(h.listener.Addr().String())
			_, _ = c.Serve(context.Background(), requestNow(c), &recorder{})
		})
	}

	for deadline := time.Now().Add(5 * time.Second); h.runs() < maxServed && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}

	close(release)
	group.Wait()

	if atATime > maxServed || atATime == 0 {
		t.Errorf("served at a time: got %d, want some and at most %d", atATime, maxServed)
	}

	for deadline := time.Now().Add(2 * time.Second); h.Served() > 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}

	if got, want := h.Served(), 0; got != want {
		t.Errorf("served afterwards: got %d, want %d", got, want)
	}
}

// Guards against instances that are avoided for long since all their connections were in use for a
// moment, so that the few others get all requests until theirs are used up too.
func TestBusyHelperIsAskedAgain(t *testing.T) {
	h := startHelping(t, func(_ context.Context, sink forward.Sink) forward.DetourResult {
		_ = sink.WriteResponse(http.StatusOK, nil, nil)

		return forward.DetourResult{}
	})
	run := h.Prepare
	h.Prepare = func(context.Context, forward.DetourRequest) (func(context.Context, forward.Sink) forward.DetourResult, *forward.Refusal) {
		return nil, &forward.Refusal{Reason: forward.Overloaded, NotRun: true}
	}

	c := clientOf(h.listener.Addr().String())

	if _, err := c.Serve(t.Context(), requestNow(c), &recorder{}); !errors.Is(err, forward.ErrNoHelper) {
		t.Fatalf("while it is busy: got %v, want no helper", err)
	}

	if got := c.Helpers.known["a"].failedRecently(c.Clock.Now(), "api"); got {
		t.Errorf("helper that was busy: got it avoided, want it asked again")
	}

	h.Prepare = run

	if _, err := c.Serve(t.Context(), requestNow(c), &recorder{}); err != nil {
		t.Errorf("a moment later: got %v, want none", err)
	}
}
