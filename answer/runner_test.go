package answer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const tokenGap = 50 * time.Millisecond

// fakeEngine streams the expected answer; it ends without a finish event
// after breakAfter tokens and hangs after hangAfter, if those are set.
type fakeEngine struct {
	backend.Engine
	request    RequestID
	length     int
	breakAfter int
	hangAfter  int

	mu        sync.Mutex
	requests  []backend.GenerateRequest
	cancelled []backend.AttemptID
}

func (e *fakeEngine) Generate(ctx context.Context, g backend.GenerateRequest) (backend.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, g)

	return &fakeTokens{engine: e, ctx: ctx, attempt: g.Attempt, next: len(g.Generated)}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id backend.AttemptID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)

	return nil
}

func (e *fakeEngine) ExportKV(context.Context, backend.AttemptID, string) (string, error) {
	time.Sleep(time.Second)

	return "kv-of-answer", nil
}

func (e *fakeEngine) seen() []backend.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.requests)
}

type fakeTokens struct {
	engine  *fakeEngine
	ctx     context.Context
	attempt backend.AttemptID
	next    int
	sent    int
}

func (s *fakeTokens) Next() (backend.TokenEvent, error) {
	if s.engine.hangAfter > 0 && s.sent >= s.engine.hangAfter {
		<-s.ctx.Done()

		return backend.TokenEvent{}, s.ctx.Err()
	}

	if s.engine.breakAfter > 0 && s.sent >= s.engine.breakAfter {
		return backend.TokenEvent{}, io.ErrUnexpectedEOF
	}

	time.Sleep(tokenGap)

	event := backend.TokenEvent{Attempt: s.attempt, Offset: s.next}
	if s.next == s.engine.length {
		event.Finish = "stop"

		return event, nil
	}

	event.Token = wantToken(s.engine.request, s.next)
	s.next++
	s.sent++

	return event, nil
}

func (*fakeTokens) Close() error { return nil }

type fakeFleet struct {
	engines map[fleet.InstanceID]*fakeEngine
	order   []fleet.InstanceID
}

func (f *fakeFleet) Pick(q Query) (Choice, bool) {
	if slices.Contains(f.order, q.Prefer) {
		return Choice{Server: q.Prefer}, true
	}

	for _, id := range f.order {
		if !slices.Contains(q.Exclude, id) {
			return Choice{Server: id}, true
		}
	}

	return Choice{}, false
}

func (f *fakeFleet) Engine(id fleet.InstanceID) (backend.Engine, bool) {
	e, ok := f.engines[id]

	return e, ok
}

func (f *fakeFleet) Address(id fleet.InstanceID) (string, bool) { return string(id), true }

func (f *fakeFleet) Target(context.Context, Request, ExportKV) (ExportTurn, bool) {
	return ExportTurn{Target: f.order[len(f.order)-1]}, true
}

type fakeSink struct {
	got     []string
	goneAt  int
	ended   int
	refusal GiveUp
}

func (s *fakeSink) Write(offset int, token string) error {
	if offset != len(s.got) {
		return fmt.Errorf("got offset %d, want %d", offset, len(s.got))
	}

	s.got = append(s.got, token)

	if s.goneAt > 0 && len(s.got) >= s.goneAt {
		return io.ErrClosedPipe
	}

	return nil
}

func (s *fakeSink) Complete(Complete) error {
	s.ended++

	return nil
}

func (s *fakeSink) GiveUp(g GiveUp) error {
	s.ended++
	s.refusal = g

	return nil
}

func newFakeFleet(engines ...*fakeEngine) *fakeFleet {
	f := &fakeFleet{engines: map[fleet.InstanceID]*fakeEngine{}}

	for i, e := range engines {
		id := fleet.InstanceID(fmt.Sprintf("s%d", i))
		e.request = "r0"
		e.length = 20
		f.engines[id] = e
		f.order = append(f.order, id)
	}

	return f
}

func TestRunner(t *testing.T) {
	tests := []struct {
		desc    string
		engines []*fakeEngine
		goneAt  int
		notice  time.Duration
		exports bool
		tokens  int
		reason  Reason
		kv      string
	}{
		{desc: "one server answers", engines: []*fakeEngine{{}}, tokens: 20},
		{desc: "the first server dies", engines: []*fakeEngine{{breakAfter: 7}, {}}, tokens: 20},
		{desc: "the first server freezes", engines: []*fakeEngine{{hangAfter: 7}, {}}, tokens: 20},
		{desc: "two servers die", engines: []*fakeEngine{{breakAfter: 7}, {breakAfter: 5}, {}}, tokens: 20},
		{desc: "no server is left", engines: nil, reason: ReasonNoServer},
		{desc: "the caller goes", engines: []*fakeEngine{{}}, goneAt: 4, tokens: 4, reason: ReasonCallerGone},
		{
			desc:    "a reclaim is announced and the cache is moved",
			engines: []*fakeEngine{{hangAfter: 19}, {}},
			notice:  300 * time.Millisecond, exports: true, tokens: 20, kv: "kv-of-answer",
		},
		{
			desc:    "a reclaim is announced and nothing can be exported",
			engines: []*fakeEngine{{hangAfter: 19}, {}},
			notice:  300 * time.Millisecond, tokens: 20,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(tt.engines...)
				r := &Runner{
					Clock: clock.System{}, Picker: f, Engines: f, Budget: unlimited{},
					Limits: testLimits(), Leaving: &Leaving{},
				}

				if tt.exports {
					r.Exports = f
				}

				if tt.notice > 0 {
					time.AfterFunc(tt.notice, func() { r.Leaving.Announce("s0", time.Now().Add(3*time.Second)) })
				}

				sink := &fakeSink{goneAt: tt.goneAt}
				request := Request{ID: "r0", Deadline: time.Now().Add(time.Minute)}
				result := r.Run(t.Context(), request, sink)
				r.Wait()

				if got, want := len(sink.got), tt.tokens; got != want {
					t.Errorf("tokens: got %d, want %d", got, want)
				}

				if got, want := sink.refusal.Reason, tt.reason; got != want {
					t.Errorf("reason: got %q, want %q", got, want)
				}

				if got, want := result.Whole(), tt.reason == ""; got != want {
					t.Errorf("whole: got %v, want %v", got, want)
				}

				if got, want := sink.ended, 1; got != want {
					t.Errorf("final answers: got %d, want %d", got, want)
				}

				if got, want := lastKV(f), tt.kv; got != want {
					t.Errorf("kv: got %q, want %q", got, want)
				}
			})
		})
	}
}

func lastKV(f *fakeFleet) string {
	for _, e := range f.engines {
		for _, g := range e.seen() {
			if g.KV != "" {
				return g.KV
			}
		}
	}

	return ""
}
