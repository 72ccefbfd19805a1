package claim

import (
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/logstream"
	"monsoonlever/provider"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tableHarness runs one table with a simulated clock and log.
type tableHarness struct {
	t      *testing.T
	table  *Table
	now    time.Time
	offset provider.Offset
}

func newTableHarness(t *testing.T, since time.Time) *tableHarness {
	t.Helper()

	h := &tableHarness{t: t, table: NewTable(Config{Self: "entry-0", Incarnation: 1}), now: testStart}
	h.table.Horizon(since)
	h.table.CaughtUp()

	return h
}

// read passes a record of a writer to the table at the current time.
func (h *tableHarness) read(writer fleet.InstanceID, kind logstream.Kind, payload []byte) []Command {
	h.offset++
	by := logstream.Author{Writer: writer, Incarnation: 1, Sequence: logstream.Sequence(h.offset)}
	at := logstream.Place{Offset: h.offset, Time: h.now}

	return h.table.Read(h.now, logstream.NewEntry(by, kind, payload, at))
}

// readOwn passes the record of the first append among commands back to the table.
func (h *tableHarness) readOwn(commands []Command) []Command {
	h.t.Helper()

	for _, command := range commands {
		if c, ok := command.(Append); ok {
			return h.read("entry-0", c.Kind(), c.Payload())
		}
	}

	h.t.Fatalf("commands: got %v, want an append", commands)

	return nil
}

func (h *tableHarness) submit(id AttemptID, value string) []Command {
	return h.table.Submit(h.now, NewSubmission(id, NewKey("payrun-api", "kronvig", value), Digest{}, h.now.Add(time.Minute)))
}

// verdictOf returns the first verdict among commands.
func verdictOf(t *testing.T, commands []Command) Verdict {
	t.Helper()

	for _, command := range commands {
		if c, ok := command.(Resolve); ok {
			return c.Verdict()
		}
	}

	t.Fatalf("commands: got %v, want a verdict", commands)

	return Verdict{}
}

func hasDispatch(commands []Command) bool {
	for _, command := range commands {
		if _, ok := command.(Dispatch); ok {
			return true
		}
	}

	return false
}

func TestVoidGivesNotRunOnlyWithinCooldown(t *testing.T) {
	tests := []struct {
		desc     string
		wait     time.Duration
		definite bool
		retry    bool
		wantRun  RunState
	}{
		{desc: "void read within the cooldown", wait: DefaultVoidCooldown / 2, wantRun: NotRun},
		{desc: "void read after the cooldown", wait: DefaultVoidCooldown, wantRun: NotStarted},
		{desc: "first append failed definitely, second void read within its cooldown", wait: DefaultVoidCooldown, retry: true, definite: true, wantRun: NotRun},
		{desc: "first append may take effect", wait: DefaultVoidCooldown, retry: true, wantRun: NotStarted},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			h := newTableHarness(t, time.Time{})

			if got, want := hasDispatch(h.readOwn(h.submit(1, "k"))), true; got != want {
				t.Fatalf("dispatch: got %v, want %v", got, want)
			}

			void := h.table.Declined(h.now, 1)
			h.now = h.now.Add(tt.wait)

			if tt.retry {
				h.table.AppendFailed(h.now, KindVoid, 1, tt.definite)
				void = h.table.Tick(h.now)
			}

			if got, want := verdictOf(t, h.readOwn(void)).Run(), tt.wantRun; got != want {
				t.Errorf("verdict: got %s, want %s", got, want)
			}
		})
	}
}

func TestVoidWithoutEffectGivesNotStarted(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	h.readOwn(h.submit(1, "k"))
	void := h.table.Declined(h.now, 1)

	// Records were deleted before they were read, so the claim may not be the valid one.
	h.table.Horizon(h.now)

	if got, want := verdictOf(t, h.readOwn(void)).Run(), NotStarted; got != want {
		t.Errorf("verdict: got %s, want %s", got, want)
	}
}

func TestSubmitRejectsKeyDuringVoidCooldown(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	h.readOwn(h.submit(1, "k"))
	h.readOwn(h.table.Declined(h.now, 1))

	v := verdictOf(t, h.submit(2, "k"))
	if got, want := v.RetryAfter(), DefaultVoidCooldown; v.Run() != NotStarted || got != want {
		t.Errorf("attempt in the cooldown: got %s with retry after %v, want %s after %v", v.Run(), got, NotStarted, want)
	}

	h.now = h.now.Add(v.RetryAfter())

	if got, want := hasDispatch(h.readOwn(h.submit(3, "k"))), true; got != want {
		t.Errorf("dispatch after the cooldown: got %v, want %v", got, want)
	}
}

func TestSubmitNeedsFullWindowOfRecords(t *testing.T) {
	h := newTableHarness(t, testStart.Add(-DefaultWindow+time.Minute))

	v := verdictOf(t, h.submit(1, "k"))
	if v.Run() != NotStarted || v.Reason() != ReasonNotReady {
		t.Errorf("attempt before a full window of records: got %s (%s), want %s (%s)", v.Run(), v.Reason(), NotStarted, ReasonNotReady)
	}

	h.now = h.now.Add(time.Minute)

	if got, want := hasDispatch(h.readOwn(h.submit(2, "k"))), true; got != want {
		t.Errorf("dispatch with a full window of records: got %v, want %v", got, want)
	}
}

func TestSubmitBeforeCatchUpIsNotReady(t *testing.T) {
	table := NewTable(Config{Self: "entry-0"})
	table.Horizon(time.Time{})

	r := NewSubmission(1, NewKey("payrun-api", "kronvig", "k"), Digest{}, testStart.Add(time.Minute))
	if v := verdictOf(t, table.Submit(testStart, r)); v.Run() != NotStarted || v.Reason() != ReasonNotReady {
		t.Errorf("attempt before the table caught up: got %s (%s), want %s (%s)",
			v.Run(), v.Reason(), NotStarted, ReasonNotReady)
	}
}

func TestSubmitRejectsUncertainKey(t *testing.T) {
	h := newTableHarness(t, testStart.Add(-DefaultWindow/2))
	key := NewKey("payrun-api", "kronvig", "k").ID()
	h.read("entry-1", KindVoid, encode(voidRecord{Key: key, Request: 1}))

	h.now = testStart.Add(DefaultWindow * 3 / 4)
	if got, want := verdictOf(t, h.submit(1, "k")).Run(), Unknown; got != want {
		t.Errorf("key with records that may have been deleted unread: got %s, want %s", got, want)
	}

	h.now = testStart.Add(DefaultWindow + DefaultMaxSkew + time.Second)
	if got, want := hasDispatch(h.readOwn(h.submit(2, "k"))), true; got != want {
		t.Errorf("dispatch after a window without records: got %v, want %v", got, want)
	}
}

func TestInvalidRecordRestartsKeyWindow(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	key := NewKey("payrun-api", "kronvig", "k").ID()
	h.read("entry-1", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	h.now = h.now.Add(DefaultWindow * 3 / 4)
	h.read("entry-2", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	h.now = h.now.Add(DefaultWindow * 3 / 4)

	v := h.submit(1, "k")
	if len(v) != 0 {
		t.Errorf("attempt with a key in use: got %v, want no command while its claimant runs", v)
	}
}

func TestSubmitRejectsExpiredUUIDv7Key(t *testing.T) {
	const value = "019b76da-a800-7000-8000-000000000001" // 2026-01-01

	tests := []struct {
		desc string
		age  time.Duration
		want bool
	}{
		{desc: "new", age: 0, want: false},
		{desc: "at the end of the window", age: DefaultWindow - DefaultMaxSkew, want: false},
		{desc: "after the window", age: DefaultWindow - DefaultMaxSkew + time.Second, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			h := newTableHarness(t, time.Time{})
			h.now = testStart.Add(tt.age)
			commands := h.submit(1, value)

			got := len(commands) > 0 && !hasDispatch(commands)
			if got {
				_, got = commands[0].(Resolve)
			}

			if got != tt.want {
				t.Errorf("expired: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestKeyExpiredWhileClaimPendingIsNotDispatched(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	h.now = testStart.Add(DefaultWindow - DefaultMaxSkew)
	claim := h.submit(1, "019b76da-a800-7000-8000-000000000001")
	h.now = h.now.Add(time.Second)

	commands := h.readOwn(claim)
	if got, want := verdictOf(t, commands).Run(), KeyExpired; got != want || hasDispatch(commands) {
		t.Errorf("verdict: got %s, want %s without a dispatch", got, want)
	}
}

func TestSubmitRejectsReusedKey(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	claim := h.submit(1, "k")
	other := NewSubmission(2, NewKey("payrun-api", "kronvig", "k"), DigestOf([]byte("other")), h.now.Add(time.Minute))

	if got, want := verdictOf(t, h.table.Submit(h.now, other)).Run(), KeyReused; got != want {
		t.Errorf("while the claim is pending: got %s, want %s", got, want)
	}

	h.readOwn(claim)

	other = NewSubmission(3, other.Key(), other.Digest(), h.now.Add(time.Minute))
	if got, want := verdictOf(t, h.table.Submit(h.now, other)).Run(), KeyReused; got != want {
		t.Errorf("while the call runs: got %s, want %s", got, want)
	}
}

func TestRemovedClaimantGivesUnknownUntilOutcome(t *testing.T) {
	h := newTableHarness(t, time.Time{})
	key := NewKey("payrun-api", "kronvig", "k").ID()
	h.read("entry-1", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	if got := h.submit(1, "k"); len(got) != 0 {
		t.Fatalf("attempt while the claimant is live: got %v, want no command", got)
	}

	if got, want := verdictOf(t, h.table.InstanceRemoved("entry-1", 1)).Run(), Unknown; got != want {
		t.Errorf("waiting attempt: got %s, want %s", got, want)
	}

	if got, want := verdictOf(t, h.submit(2, "k")).Run(), Unknown; got != want {
		t.Errorf("later attempt: got %s, want %s", got, want)
	}

	// The claimant was only paused and appends its outcome now.
	h.read("entry-1", KindOutcome, encode(outcomeRecord{Key: key, Request: 1, Status: 200}))

	if got, want := verdictOf(t, h.submit(3, "k")).Run(), Ran; got != want {
		t.Errorf("attempt after the outcome: got %s, want %s", got, want)
	}
}
