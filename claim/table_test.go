package claim

import (
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/logstream"
	"monsoonlever/provider"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench drives one table by hand.
type bench struct {
	t      *testing.T
	table  *Table
	now    time.Time
	offset provider.Offset
}

func newBench(t *testing.T, since time.Time) *bench {
	t.Helper()

	b := &bench{t: t, table: NewTable(Config{Self: "entry-0", Incarnation: 1}), now: testStart}
	b.table.Horizon(since)
	b.table.CaughtUp()

	return b
}

// read gives the table a record of a writer at the present time.
func (b *bench) read(writer fleet.InstanceID, kind logstream.Kind, payload []byte) []Command {
	b.offset++
	by := logstream.Author{Writer: writer, Incarnation: 1, Sequence: logstream.Sequence(b.offset)}
	at := logstream.Place{Offset: b.offset, Time: b.now}

	return b.table.Read(b.now, logstream.NewEntry(by, kind, payload, at))
}

// readOwn gives the table back what it appended.
func (b *bench) readOwn(commands []Command) []Command {
	b.t.Helper()

	for _, command := range commands {
		if c, ok := command.(Append); ok {
			return b.read("entry-0", c.Kind(), c.Payload())
		}
	}

	b.t.Fatalf("commands: got %v, want an append", commands)

	return nil
}

func (b *bench) submit(id RequestID, value string) []Command {
	return b.table.Submit(b.now, NewRequest(id, NewKey("payrun-api", "kronvig", value), Digest{}, b.now.Add(time.Minute)))
}

// verdictOf returns the verdict among commands.
func verdictOf(t *testing.T, commands []Command) Verdict {
	t.Helper()

	for _, command := range commands {
		if c, ok := command.(Answer); ok {
			return c.Verdict()
		}
	}

	t.Fatalf("commands: got %v, want an answer", commands)

	return Verdict{}
}

func dispatches(commands []Command) bool {
	for _, command := range commands {
		if _, ok := command.(Dispatch); ok {
			return true
		}
	}

	return false
}

func TestNotRunIsToldInTimeOnly(t *testing.T) {
	tests := []struct {
		desc    string
		wait    time.Duration
		dead    bool
		retry   bool
		wantRun Run
	}{
		{desc: "void read within the hold", wait: DefaultVoidHold / 2, wantRun: NotRun},
		{desc: "void read after the hold", wait: DefaultVoidHold, wantRun: NotStarted},
		{desc: "first void dead, second read within its hold", wait: DefaultVoidHold, retry: true, dead: true, wantRun: NotRun},
		{desc: "first void may be in effect", wait: DefaultVoidHold, retry: true, wantRun: NotStarted},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := newBench(t, time.Time{})

			if got, want := dispatches(b.readOwn(b.submit(1, "k"))), true; got != want {
				t.Fatalf("dispatch: got %v, want %v", got, want)
			}

			void := b.table.Declined(b.now, 1)
			b.now = b.now.Add(tt.wait)

			if tt.retry {
				b.table.AppendFailed(b.now, KindVoid, 1, tt.dead)
				void = b.table.Tick(b.now)
			}

			if got, want := verdictOf(t, b.readOwn(void)).Run(), tt.wantRun; got != want {
				t.Errorf("verdict: got %s, want %s", got, want)
			}
		})
	}
}

func TestAVoidThatIsNotInEffectIsNotToldAsNotRun(t *testing.T) {
	b := newBench(t, time.Time{})
	b.readOwn(b.submit(1, "k"))
	void := b.table.Declined(b.now, 1)

	// Records aged out unread: the claim may not have been the valid one.
	b.table.Horizon(b.now)

	if got, want := verdictOf(t, b.readOwn(void)).Run(), NotStarted; got != want {
		t.Errorf("verdict: got %s, want %s", got, want)
	}
}

func TestAttemptsWaitForTheHoldOfAVoid(t *testing.T) {
	b := newBench(t, time.Time{})
	b.readOwn(b.submit(1, "k"))
	b.readOwn(b.table.Declined(b.now, 1))

	v := verdictOf(t, b.submit(2, "k"))
	if got, want := v.RetryAfter(), DefaultVoidHold; v.Run() != NotStarted || got != want {
		t.Errorf("attempt in the hold: got %s with retry after %v, want %s after %v", v.Run(), got, NotStarted, want)
	}

	b.now = b.now.Add(v.RetryAfter())

	if got, want := dispatches(b.readOwn(b.submit(3, "k"))), true; got != want {
		t.Errorf("dispatch after the hold: got %v, want %v", got, want)
	}
}

func TestClaimsNeedAWholeWindowOfRecords(t *testing.T) {
	b := newBench(t, testStart.Add(-DefaultWindow+time.Minute))

	v := verdictOf(t, b.submit(1, "k"))
	if v.Run() != NotStarted || v.Reason() != ReasonNotReady {
		t.Errorf("attempt too early: got %s (%s), want %s (%s)", v.Run(), v.Reason(), NotStarted, ReasonNotReady)
	}

	b.now = b.now.Add(time.Minute)

	if got, want := dispatches(b.readOwn(b.submit(2, "k"))), true; got != want {
		t.Errorf("dispatch with a window of records: got %v, want %v", got, want)
	}
}

func TestClaimsWaitForTheRecordsOfTheStart(t *testing.T) {
	table := NewTable(Config{Self: "entry-0"})
	table.Horizon(time.Time{})

	r := NewRequest(1, NewKey("payrun-api", "kronvig", "k"), Digest{}, testStart.Add(time.Minute))
	if v := verdictOf(t, table.Submit(testStart, r)); v.Run() != NotStarted || v.Reason() != ReasonNotReady {
		t.Errorf("attempt before the start was read: got %s (%s), want %s (%s)",
			v.Run(), v.Reason(), NotStarted, ReasonNotReady)
	}
}

func TestUncertainKeysAreNotClaimed(t *testing.T) {
	b := newBench(t, testStart.Add(-DefaultWindow/2))
	key := NewKey("payrun-api", "kronvig", "k").ID()
	b.read("entry-1", KindVoid, encode(voidRecord{Key: key, Request: 1}))

	b.now = testStart.Add(DefaultWindow * 3 / 4)
	if got, want := verdictOf(t, b.submit(1, "k")).Run(), Unknown; got != want {
		t.Errorf("key with records that aged out: got %s, want %s", got, want)
	}

	b.now = testStart.Add(DefaultWindow + DefaultMaxSkew + time.Second)
	if got, want := dispatches(b.readOwn(b.submit(2, "k"))), true; got != want {
		t.Errorf("dispatch after a window without records: got %v, want %v", got, want)
	}
}

func TestEveryRecordKeepsAKeyKnown(t *testing.T) {
	b := newBench(t, time.Time{})
	key := NewKey("payrun-api", "kronvig", "k").ID()
	b.read("entry-1", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	b.now = b.now.Add(DefaultWindow * 3 / 4)
	b.read("entry-2", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	b.now = b.now.Add(DefaultWindow * 3 / 4)

	v := b.submit(1, "k")
	if len(v) != 0 {
		t.Errorf("attempt with a key in use: got %v, want to wait for its claimant", v)
	}
}

func TestKeysThatTellTheirTimeExpire(t *testing.T) {
	const value = "019b76da-a800-7000-8000-000000000001" // 2026-01-01

	tests := []struct {
		desc string
		age  time.Duration
		want bool
	}{
		{desc: "fresh", age: 0, want: false},
		{desc: "at the end", age: DefaultWindow - DefaultMaxSkew, want: false},
		{desc: "from before the window", age: DefaultWindow - DefaultMaxSkew + time.Second, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := newBench(t, time.Time{})
			b.now = testStart.Add(tt.age)
			commands := b.submit(1, value)

			got := len(commands) > 0 && !dispatches(commands)
			if got {
				_, got = commands[0].(Answer)
			}

			if got != tt.want {
				t.Errorf("expired: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestAKeyThatExpiresOnTheWayIsNotSent(t *testing.T) {
	b := newBench(t, time.Time{})
	b.now = testStart.Add(DefaultWindow - DefaultMaxSkew)
	claim := b.submit(1, "019b76da-a800-7000-8000-000000000001")
	b.now = b.now.Add(time.Second)

	commands := b.readOwn(claim)
	if got, want := verdictOf(t, commands).Run(), KeyExpired; got != want || dispatches(commands) {
		t.Errorf("verdict: got %s, want %s without a dispatch", got, want)
	}
}

func TestAnotherBodyUnderAKeyIsRefused(t *testing.T) {
	b := newBench(t, time.Time{})
	claim := b.submit(1, "k")
	other := NewRequest(2, NewKey("payrun-api", "kronvig", "k"), DigestOf([]byte("other")), b.now.Add(time.Minute))

	if got, want := verdictOf(t, b.table.Submit(b.now, other)).Run(), KeyReused; got != want {
		t.Errorf("while the claim is on its way: got %s, want %s", got, want)
	}

	b.readOwn(claim)

	other = NewRequest(3, other.Key(), other.Digest(), b.now.Add(time.Minute))
	if got, want := verdictOf(t, b.table.Submit(b.now, other)).Run(), KeyReused; got != want {
		t.Errorf("while the call runs: got %s, want %s", got, want)
	}
}

func TestAGoneClaimantLeavesUnknownAtOnce(t *testing.T) {
	b := newBench(t, time.Time{})
	key := NewKey("payrun-api", "kronvig", "k").ID()
	b.read("entry-1", KindClaim, encode(claimRecord{Key: key, Request: 1}))

	if got := b.submit(1, "k"); len(got) != 0 {
		t.Fatalf("attempt while the claimant lives: got %v, want to wait", got)
	}

	if got, want := verdictOf(t, b.table.InstanceGone("entry-1", 1)).Run(), Unknown; got != want {
		t.Errorf("waiting attempt: got %s, want %s", got, want)
	}

	if got, want := verdictOf(t, b.submit(2, "k")).Run(), Unknown; got != want {
		t.Errorf("later attempt: got %s, want %s", got, want)
	}

	// It was only paused, and tells its outcome after all.
	b.read("entry-1", KindOutcome, encode(outcomeRecord{Key: key, Request: 1, Status: 200}))

	if got, want := verdictOf(t, b.submit(3, "k")).Run(), Ran; got != want {
		t.Errorf("attempt after the outcome: got %s, want %s", got, want)
	}
}
