package entry

import (
	"testing"
	"time"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/feed"
	"monsoonlever/lease"
	"monsoonlever/provider"
	"monsoonlever/register"
	"monsoonlever/ruleset"
	"monsoonlever/settings"
)

// newRestoredComponents are those of an instance that has rules of a version.
func newRestoredComponents(t *testing.T, clk *clock.Manual, version uint64) *components {
	t.Helper()

	p := &components{
		clock: clk, rulesCurrency: &currency.Tracker{Clock: clk, MaxAge: 5 * time.Second},
		settings: settings.Entry{Bounds: settings.Bounds{Revocation: 5 * time.Second}},
	}

	rules, err := ruleset.New(ruleset.Spec{Version: version})
	if err != nil {
		t.Fatal(err)
	}

	p.rules.Store(rules)

	return p
}

// An instance that reads older rules than another has does not take them for current, also
// where the store has nothing newer.
func TestRulesOlderThanPeerAreNotCurrent(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := newRestoredComponents(t, clk, 6)

	p.confirmRules(clk.Now())

	if !p.rulesCurrency.Current() {
		t.Error("before any other told more: got not current, want current")
	}

	clk.Advance(10 * time.Second)
	p.restoration.recordRulesVersion(7)
	p.restoration.recordRulesVersion(5)
	p.confirmRules(clk.Now())

	if p.rulesCurrency.Current() {
		t.Error("while another has newer rules: got current, want not")
	}
}

// After the store came back from a copy, reads confirm rules once operators have written
// them again, or have had time to.
func TestReadsConfirmRulesOnlyAfterRestoreSettles(t *testing.T) {
	for name, written := range map[string]bool{"written again": true, "nothing was lost": false} {
		clk := clock.NewManual(time.Unix(1000, 0))
		p := newRestoredComponents(t, clk, 6)
		p.restoration.restoredAt.Store(clk.Now().UnixNano())

		p.confirmRules(clk.Now().Add(time.Second))

		if p.rulesCurrency.Current() {
			t.Errorf("%s: a read of the copy: got current, want not", name)
		}

		p.restoration.rulesWritten.Store(written)
		clk.Advance(time.Second)

		if written {
			p.confirmRules(clk.Now())
		} else {
			clk.Advance(2 * time.Second)
			p.confirmRules(clk.Now())
		}

		if !p.rulesCurrency.Current() {
			t.Errorf("%s: got not current, want current", name)
		}
	}
}

// A copy may lack the grant of a holder that still acts: what its records say of the role is
// passed over, and nobody takes it until such a grant is over.
func TestRestoredRecordsDoNotOpenRole(t *testing.T) {
	now := time.Unix(1000, 0)
	config := lease.Config{Term: 4 * time.Second, RenewInterval: time.Second, MaxReadGap: time.Second}
	other := lease.Holder{Instance: "entry-2", Incarnation: 1}

	core, err := lease.NewCore(config, dutyRole, lease.Holder{Instance: "entry-1", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}

	d := &duties{core: core}
	at := func(offset uint64) provider.Offset { return provider.Offset(feed.PositionOf(2, offset)) + 1 }

	// Its holder gave it up in what the copy has, and took it again in what it lacks.
	d.receiveLease(now, board.Record{Offset: at(4), FromOldCopy: true, Leases: []lease.Record{
		{Kind: lease.Acquire, Role: dutyRole, Holder: other, Sequence: 1, Term: config.Term},
	}})
	d.core.CaughtUp(now)

	if got := d.core.Snapshot().Holder; got != (lease.Holder{}) {
		t.Errorf("holder by the copy: got %v, want none", got)
	}

	if d.core.CanAcquire(now.Add(config.Term / 2)) {
		t.Error("within the term of a lost grant: got the role open, want it not")
	}

	d.core.CaughtUp(now.Add(config.Term + time.Second))

	if !d.core.CanAcquire(now.Add(config.Term + time.Second)) {
		t.Error("after it: got the role not open, want it open")
	}
}

// The first whole set of a new era takes no server away; the next one does.
func TestFirstSnapshotAfterRestoreKeepsServers(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := newRestoredComponents(t, clk, 1)
	p.register = &register.Register{}
	p.registerFeed = &feed.Follower{}
	changes := []register.Change{{ID: "i-1", Version: 1, Server: &register.Server{ID: "i-1", Service: "api"}}}

	p.replaceRegister(clk.Now(), 1, changes)
	p.replaceRegister(clk.Now(), 2, nil)

	if got := len(p.register.Servers()); got != 1 {
		t.Errorf("after the first whole set of a copy: got %d servers, want 1", got)
	}

	p.replaceRegister(clk.Now(), 2, nil)

	if got := len(p.register.Servers()); got != 0 {
		t.Errorf("after the next one: got %d servers, want none", got)
	}
}
