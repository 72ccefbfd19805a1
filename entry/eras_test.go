package entry

import (
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/ruleset"
	"monsoonlever/settings"
)

// restoredParts are those of an instance that has rules of a version.
func restoredParts(t *testing.T, clk *clock.Manual, version uint64) *parts {
	t.Helper()

	p := &parts{
		clock: clk, currency: &currency.Tracker{Clock: clk, Bound: 5 * time.Second},
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
func TestRulesOfAnOlderCopyAreNotCurrent(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := restoredParts(t, clk, 6)

	p.confirmRules(clk.Now())

	if !p.currency.Current() {
		t.Error("before any other told more: got not current, want current")
	}

	clk.Advance(10 * time.Second)
	p.restored.hearVersion(7)
	p.restored.hearVersion(5)
	p.confirmRules(clk.Now())

	if p.currency.Current() {
		t.Error("while another has newer rules: got current, want not")
	}
}

// After the store came back from a copy, reads confirm rules once operators have written
// them again, or have had time to.
func TestReadsOfACopyConfirmNothingAtFirst(t *testing.T) {
	for name, written := range map[string]bool{"written again": true, "nothing was lost": false} {
		clk := clock.NewManual(time.Unix(1000, 0))
		p := restoredParts(t, clk, 6)
		p.restored.rose.Store(clk.Now().UnixNano())

		p.confirmRules(clk.Now().Add(time.Second))

		if p.currency.Current() {
			t.Errorf("%s: a read of the copy: got current, want not", name)
		}

		p.restored.ruled.Store(written)
		clk.Advance(time.Second)

		if written {
			p.confirmRules(clk.Now())
		} else {
			clk.Advance(2 * time.Second)
			p.confirmRules(clk.Now())
		}

		if !p.currency.Current() {
			t.Errorf("%s: got not current, want current", name)
		}
	}
}
