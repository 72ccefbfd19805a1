package lease_test

import (
	"errors"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/provider"
)

const role = lease.Role("controller/dk-east")

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newCore(t *testing.T, name string) *lease.Core {
	t.Helper()

	config := lease.DefaultConfig()
	config.Stagger = 0

	c, err := lease.NewCore(config, role, holder(name))
	if err != nil {
		t.Fatal(err)
	}

	return c
}

func holder(name string) lease.Holder {
	return lease.Holder{Instance: "entry-1", Incarnation: 1 + incarnations[name]}
}

var incarnations = map[string]fleet.Incarnation{"a": 0, "b": 1}

func onlyRecord(t *testing.T, commands []lease.Command) lease.Record {
	t.Helper()

	if got, want := len(commands), 1; got != want {
		t.Fatalf("commands: got %d, want %d", got, want)
	}

	return commands[0].Record
}

func TestFirstAcquireInLogWins(t *testing.T) {
	a, b := newCore(t, "a"), newCore(t, "b")
	a.CaughtUp(start)
	b.CaughtUp(start)

	ra, rb := onlyRecord(t, a.Step(start)), onlyRecord(t, b.Step(start))
	for _, c := range []*lease.Core{a, b} {
		c.Observe(start, 7, rb)
		c.Observe(start, 8, ra)
	}

	if _, err := a.Check(start); !errors.Is(err, lease.ErrNotHeld) {
		t.Errorf("loser: got %v, want %v", err, lease.ErrNotHeld)
	}

	got, err := b.Check(start)
	if want := lease.Fence(7); err != nil || got != want {
		t.Errorf("winner: got %d, %v, want %d", got, err, want)
	}
}

func TestTermStartsBeforeAppend(t *testing.T) {
	a := newCore(t, "a")
	a.CaughtUp(start)
	r := onlyRecord(t, a.Step(start))
	read := start.Add(8 * time.Second)
	a.Observe(read, 1, r)

	table := []struct {
		desc string
		at   time.Time
		want error
	}{
		{"read late but within the term", read, nil},
		{"just before the term less drift", start.Add(8990 * time.Millisecond), nil},
		{"within the drift margin", start.Add(8995 * time.Millisecond), lease.ErrNotHeld},
	}
	for _, tt := range table {
		t.Run(tt.desc, func(t *testing.T) {
			if _, got := a.Check(tt.at); !errors.Is(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestReleaseShortensSuccessorWait(t *testing.T) {
	a, b := newCore(t, "a"), newCore(t, "b")
	a.CaughtUp(start)
	grant := onlyRecord(t, a.Step(start))
	a.Observe(start, 1, grant)
	b.Observe(start, 1, grant)

	released := onlyRecord(t, a.Release(start))
	if _, err := a.Check(start); !errors.Is(err, lease.ErrNotHeld) {
		t.Errorf("after release: got %v, want %v", err, lease.ErrNotHeld)
	}

	b.Observe(start, 2, released)
	b.CaughtUp(start)

	for _, tt := range []struct {
		desc string
		wait time.Duration
		want int
	}{
		{"within the order delay", time.Second, 0},
		{"after the order delay", 2100 * time.Millisecond, 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b.CaughtUp(start.Add(tt.wait))

			if got := len(b.Step(start.Add(tt.wait))); got != tt.want {
				t.Errorf("commands: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestHolderKeepsLeaseAcrossLogOutage(t *testing.T) {
	a, b := newCore(t, "a"), newCore(t, "b")
	a.CaughtUp(start)
	grant := onlyRecord(t, a.Step(start))
	a.Observe(start, 1, grant)
	b.Observe(start, 1, grant)
	b.CaughtUp(start)

	recovered := start.Add(time.Hour)
	if got := len(b.Step(recovered.Add(-time.Second))); got != 0 {
		t.Errorf("successor during the outage: got %d commands, want 0", got)
	}

	b.CaughtUp(recovered)
	a.CaughtUp(recovered)

	if got := len(b.Step(recovered)); got != 0 {
		t.Errorf("successor right after the outage: got %d commands, want 0", got)
	}

	renewal := onlyRecord(t, a.Step(recovered))
	a.Observe(recovered, 2, renewal)

	got, err := a.Check(recovered)
	if want := lease.Fence(1); err != nil || got != want {
		t.Errorf("holder after the outage: got %d, %v, want %d", got, err, want)
	}
}

func TestRestoredLedgerMatchesFullLog(t *testing.T) {
	full := lease.NewLedger(role)
	full.Apply(3, lease.Record{Kind: lease.Acquire, Role: role, Holder: holder("a"), Term: time.Second})

	restored := lease.NewLedger(role)
	if !restored.Restore(full.Snapshot()) {
		t.Fatal("snapshot was not restored")
	}

	for offset := provider.Offset(4); offset < 6; offset++ {
		r := lease.Record{Kind: lease.Renew, Role: role, Holder: holder("a"), Previous: 3}
		if got, want := restored.Apply(offset, r), full.Apply(offset, r); got != want {
			t.Errorf("record at %d: got %v, want %v", offset, got, want)
		}
	}
}

// A process that starts on the holder's instance knows that the holder has terminated.
func TestNewProcessOnHolderInstanceSkipsTermWait(t *testing.T) {
	for _, tt := range []struct {
		desc          string
		singleProcess bool
		self          lease.Holder
		want          bool
	}{
		{"the same instance", true, lease.Holder{Instance: "entry-1", Incarnation: 2}, true},
		{"the same instance, which may run two processes", false, lease.Holder{Instance: "entry-1", Incarnation: 2}, false},
		{"another instance", true, lease.Holder{Instance: "entry-2", Incarnation: 2}, false},
	} {
		config := lease.DefaultConfig()
		config.SingleProcess = tt.singleProcess

		core, err := lease.NewCore(config, "duties", tt.self)
		if err != nil {
			t.Fatal(err)
		}

		now := time.Unix(1000, 0)
		core.Observe(now, 1, lease.Record{
			Kind: lease.Acquire, Role: "duties", Holder: lease.Holder{Instance: "entry-1", Incarnation: 1}, Term: config.Term,
		})
		core.CaughtUp(now)

		later := now.Add(config.MaxOrderDelay + config.MaxOrderDelay/10)
		core.CaughtUp(later)

		if got := core.CanAcquire(later); got != tt.want {
			t.Errorf("%s: can acquire: got %v, want %v", tt.desc, got, tt.want)
		}
	}
}
