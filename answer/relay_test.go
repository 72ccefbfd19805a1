package answer

import (
	"fmt"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
)

func testLimits() Limits {
	return Limits{
		FirstStall:    10 * time.Second,
		Stall:         5 * time.Second,
		Patience:      30 * time.Second,
		FirstPatience: 30 * time.Second,
		Backoff:       time.Second,
		Failures:      1000,
		MoveMargin:    time.Second,
		RetryAfter:    2 * time.Second,
	}
}

func newRelay(budget int) *Relay {
	return &Relay{
		Request:  "r0",
		Epoch:    Epoch{Owner: "e"},
		Deadline: testStart.Add(time.Minute),
		Budget:   &counted{left: budget},
		Limits:   testLimits(),
	}
}

func TestGiveUpTellsWhetherTheRequestRan(t *testing.T) {
	tests := []struct {
		desc   string
		events []Event
		// last says that no attempt may fail, even of an answer that has begun.
		last bool
		want GiveUp
	}{
		{
			desc:   "the only attempt was not sent",
			events: []Event{Started{"r0.0.e.1", "a"}, Broken{"r0.0.e.1", merry.Wrap(backend.ErrNotSent)}},
			want:   GiveUp{Reason: ReasonRetryBudget, Ran: NotRun, RetryAfter: 2 * time.Second},
		},
		{
			desc:   "the only attempt was refused",
			events: []Event{Started{"r0.0.e.1", "a"}, Broken{"r0.0.e.1", merry.Wrap(backend.ErrRefused)}},
			want:   GiveUp{Reason: ReasonRetryBudget, Ran: NotRun, RetryAfter: 2 * time.Second},
		},
		{
			desc:   "the only attempt broke before its first token",
			events: []Event{Started{"r0.0.e.1", "a"}, Broken{"r0.0.e.1", io.ErrUnexpectedEOF}},
			want:   GiveUp{Reason: ReasonRetryBudget, Ran: RanUnknown, RetryAfter: 2 * time.Second},
		},
		{
			desc:   "the caller left while an attempt was under way",
			events: []Event{Started{"r0.0.e.1", "a"}, CallerGone{}},
			want:   GiveUp{Reason: ReasonCallerGone, Ran: RanUnknown, RetryAfter: 2 * time.Second},
		},
		{
			desc:   "tokens were forwarded",
			events: []Event{Started{"r0.0.e.1", "a"}, Token{"r0.0.e.1", 0, "x"}, Broken{"r0.0.e.1", io.ErrUnexpectedEOF}},
			last:   true,
			want:   GiveUp{Reason: ReasonRetryBudget, Ran: PartlyRan, RetryAfter: 2 * time.Second},
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := newRelay(0)
			if tt.last {
				r.Limits.Failures = 0
			}

			r.Start(testStart)

			var got Command
			for _, e := range tt.events {
				for _, c := range r.Step(testStart, e) {
					got = c
				}
			}

			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestMoveOffALeavingServer(t *testing.T) {
	exported := KVExported{"r0.0.e.1", "b", "kv-1"}

	tests := []struct {
		desc   string
		events []Event
		after  time.Duration
		want   Dispatch
	}{
		{
			desc:   "with the exported cache",
			events: []Event{LeavingNotice{"a", testStart.Add(10 * time.Second)}, exported},
			want:   Dispatch{Attempt: "r0.0.e.2", KV: "kv-1", Prefer: "b"},
		},
		{
			desc:   "as text when the export did not get through",
			events: []Event{LeavingNotice{"a", testStart.Add(10 * time.Second)}, ExportFailed{"r0.0.e.1"}},
			after:  9 * time.Second,
			want:   Dispatch{Attempt: "r0.0.e.2"},
		},
		{
			desc:   "as text when the target is leaving as well",
			events: []Event{LeavingNotice{"a", testStart.Add(10 * time.Second)}, LeavingNotice{"b", testStart.Add(time.Minute)}, exported},
			after:  9 * time.Second,
			want:   Dispatch{Attempt: "r0.0.e.2"},
		},
		{
			desc:   "at once when there is no time",
			events: []Event{LeavingNotice{"a", testStart.Add(time.Second)}},
			want:   Dispatch{Attempt: "r0.0.e.2"},
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := newRelay(0)
			r.Limits.Stall = time.Minute
			r.Start(testStart)
			events := append([]Event{Started{"r0.0.e.1", "a"}, Token{"r0.0.e.1", 0, "x"}}, tt.events...)

			var got Dispatch
			for _, e := range events {
				got = lastDispatch(got, r.Step(testStart, e))
			}

			got = lastDispatch(got, r.Step(testStart.Add(tt.after), Tick{}))

			if got.Attempt != tt.want.Attempt || got.KV != tt.want.KV || got.Prefer != tt.want.Prefer {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}

			if got, want := got.Generated, []string{"x"}; !reflect.DeepEqual(got, want) {
				t.Errorf("generated: got %q, want %q", got, want)
			}
		})
	}
}

func lastDispatch(d Dispatch, commands []Command) Dispatch {
	for _, c := range commands {
		if found, ok := c.(Dispatch); ok {
			d = found
		}
	}

	return d
}

func TestRelayAllocatesAtMostOncePerToken(t *testing.T) {
	r := newRelay(0)
	r.Start(testStart)
	r.Step(testStart, Started{"r0.0.e.1", "a"})
	offset := 0

	got := testing.AllocsPerRun(10000, func() {
		r.Step(testStart, Token{"r0.0.e.1", offset, "x"})
		offset++
	})

	if want := 1.0; got > want {
		t.Errorf("allocations per token: got %v, want at most %v", got, want)
	}
}

func BenchmarkRelayToken(b *testing.B) {
	r := newRelay(0)
	r.Start(testStart)
	r.Step(testStart, Started{"r0.0.e.1", "a"})
	b.ReportAllocs()

	for offset := 0; b.Loop(); offset++ {
		r.Step(testStart, Token{"r0.0.e.1", offset, "x"})
	}
}

func ExampleRelay() {
	r := newRelay(1)

	for _, c := range r.Start(testStart) {
		fmt.Printf("%T\n", c)
	}
	// Output: answer.Dispatch
}

func TestBegunAnswersAreResumedWithoutTheBudget(t *testing.T) {
	r := newRelay(0)
	r.Limits.Failures = 2
	r.Start(testStart)
	r.Step(testStart, Started{"r0.0.e.1", "a"})
	r.Step(testStart, Token{"r0.0.e.1", 0, "x"})

	for i, attempt := range []backend.AttemptID{"r0.0.e.1", "r0.0.e.2", "r0.0.e.3"} {
		commands := r.Step(testStart, Broken{attempt, io.ErrUnexpectedEOF})

		_, gaveUp := commands[len(commands)-1].(GiveUp)
		if want := i == 2; gaveUp != want {
			t.Errorf("failure %d: got given up %v, want %v", i+1, gaveUp, want)
		}
	}
}

func TestPatienceIsShortBeforeAnyServerHasBegun(t *testing.T) {
	tests := []struct {
		desc   string
		events []Event
		want   time.Duration
	}{
		{desc: "nothing has begun", want: 2 * time.Second},
		{
			desc:   "a token was forwarded",
			events: []Event{Started{"r0.0.e.1", "a"}, Token{"r0.0.e.1", 0, "x"}, Broken{"r0.0.e.1", io.ErrUnexpectedEOF}},
			want:   20 * time.Second,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := newRelay(0)
			r.Limits.FirstPatience = 2 * time.Second
			r.Limits.Patience = 20 * time.Second
			attempt := lastDispatch(Dispatch{}, r.Start(testStart)).Attempt

			for _, e := range tt.events {
				attempt = lastDispatch(Dispatch{Attempt: attempt}, r.Step(testStart, e)).Attempt
			}

			now := testStart
			for !r.Done() {
				r.Step(now, NoServer{attempt})

				if r.Done() {
					break
				}

				now = r.Wake()
				attempt = lastDispatch(Dispatch{Attempt: attempt}, r.Step(now, Tick{})).Attempt
			}

			if got := now.Sub(testStart); got != tt.want {
				t.Errorf("given up after: got %v, want %v", got, tt.want)
			}
		})
	}
}
