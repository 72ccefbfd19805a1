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

// newComponentsWithRules returns the components of an instance that has a version of the rules.
func newComponentsWithRules(t *testing.T, clk *clock.Manual, version uint64) *components {
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

// An instance whose rules are older than those of another instance does not confirm them, even if
// the store has nothing newer.
func TestRulesOlderThanPeerAreNotCurrent(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := newComponentsWithRules(t, clk, 6)

	p.confirmRules(clk.Now())

	if !p.rulesCurrency.Current() {
		t.Error("without a newer version at another instance: got not current, want current")
	}

	clk.Advance(10 * time.Second)
	p.restoration.recordRulesVersion(7)
	p.restoration.recordRulesVersion(5)
	p.confirmRules(clk.Now())

	if p.rulesCurrency.Current() {
		t.Error("with a newer version at another instance: got current, want not current")
	}
}

// After a restore of the store from an older copy, reads confirm rules only once operators have
// written them again, or have had time to.
func TestReadsConfirmRulesOnlyAfterRestoreSettles(t *testing.T) {
	for name, written := range map[string]bool{"written again": true, "nothing was lost": false} {
		clk := clock.NewManual(time.Unix(1000, 0))
		p := newComponentsWithRules(t, clk, 6)
		p.restoration.restoredAt.Store(clk.Now().UnixNano())

		p.confirmRules(clk.Now().Add(time.Second))

		if p.rulesCurrency.Current() {
			t.Errorf("%s: after a read of the copy: got current, want not current", name)
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
			t.Errorf("%s: after settling: got not current, want current", name)
		}
	}
}

// A restored copy may lack the grant of a holder that still acts: the leases in its records are
// ignored, and no instance acquires the role until such a grant has expired.
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

	// The holder released the role in the copy, and acquired it again in the records that the copy
	// lacks.
	d.receiveLease(now, board.Record{Offset: at(4), FromOldCopy: true, Leases: []lease.Record{
		{Kind: lease.Acquire, Role: dutyRole, Holder: other, Sequence: 1, Term: config.Term},
	}})
	d.core.CaughtUp(now)

	if got := d.core.Snapshot().Holder; got != (lease.Holder{}) {
		t.Errorf("holder according to the copy: got %v, want none", got)
	}

	if d.core.CanAcquire(now.Add(config.Term / 2)) {
		t.Error("within the term of a lost grant: got the role open, want it held")
	}

	d.core.CaughtUp(now.Add(config.Term + time.Second))

	if !d.core.CanAcquire(now.Add(config.Term + time.Second)) {
		t.Error("after the term of a lost grant: got the role held, want it open")
	}
}

// The first full snapshot of a new era removes no server; the next one does.
func TestFirstSnapshotAfterRestoreKeepsServers(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := newComponentsWithRules(t, clk, 1)
	p.register = &register.Register{}
	p.registerFeed = &feed.Follower{}
	changes := []register.Change{{ID: "i-1", Version: 1, Server: &register.Server{ID: "i-1", Service: "api"}}}

	p.replaceRegister(clk.Now(), 1, changes)
	p.replaceRegister(clk.Now(), 2, nil)

	if got := len(p.register.Servers()); got != 1 {
		t.Errorf("after the first snapshot of a copy: got %d servers, want 1", got)
	}

	p.replaceRegister(clk.Now(), 2, nil)

	if got := len(p.register.Servers()); got != 0 {
		t.Errorf("after the second snapshot: got %d servers, want none", got)
	}
}
