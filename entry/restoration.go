package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/register"
)

const (
	// restoreSettleDuration is how long after a rise of the store's era a server that the copy lacks
	// still counts as there: those that live have registered again, and entries of those
	// that don't have lapsed.
	restoreSettleDuration = 5 * time.Second
	// rulesSettleShare is the part of the bound on the age of rules for which, after a rise, reads
	// confirm nothing: operators write again what the copy lacks.
	rulesSettleShare = 0.5
	// rewriteSpreadPerInstance is what each instance adds to the time in which all write again what the
	// copy lacks of theirs: 33 calls a second in all, however many they are.
	rewriteSpreadPerInstance = 30 * time.Millisecond
)

// restoration is what an instance knows of the newest era of the store.
type restoration struct {
	// restoredAt is when the era restoredAt, in Unix nanoseconds of the instance's clock; zero is never.
	restoredAt atomic.Int64
	// rulesWritten is set once rules were written in the newest era, and newest is the newest version
	// of the rules that any instance had.
	rulesWritten atomic.Bool
	newestRules  atomic.Uint64
	// registered is the era of the whole register that was registerRead last, if it was registerRead; both
	// are used by the reader of the register alone.
	registerRead bool
	registerEra  uint64
}

// since returns how long ago the era rose.
func (r *restoration) since(now time.Time) (time.Duration, bool) {
	restoredAt := r.restoredAt.Load()

	return now.Sub(time.Unix(0, restoredAt)), restoredAt != 0
}

// recordRulesVersion takes in that another instance has rules of a version.
func (r *restoration) recordRulesVersion(version uint64) {
	for {
		newest := r.newestRules.Load()
		if version <= newest || r.newestRules.CompareAndSwap(newest, version) {
			return
		}
	}
}

// storeRestored takes in that the store came back from an older copy of itself, in which what was
// written last is missing. It does not wait.
func (p *components) storeRestored(era uint64) {
	now := p.clock.Now()
	p.restoration.restoredAt.Store(now.UnixNano())
	p.restoration.rulesWritten.Store(false)
	klog.InfoS("store came back from an older copy", "era", era)

	p.duties.storeRestored(now, era)
	p.rulesFeed.Wake()
	p.registerFeed.Wake()

	if p.isLeader() || !p.fullMesh() {
		p.board.Wake()

		return
	}

	go func() {
		clock.Sleep(context.Background(), p.clock, rand.N(time.Duration(p.instanceCount())*rewriteSpreadPerInstance))
		p.board.Wake()
	}()
}

// observeEra reads the store at once where another instance has seen a later era, or goes by what
// that one says where this instance does not read the store.
func (p *components) observeEra(era uint64) {
	if era <= p.store.Era() {
		return
	}

	if !p.readsStore() {
		p.store.ObserveEra(era)

		return
	}

	p.rulesFeed.Wake()
	p.registerFeed.Wake()
}

// confirmRules takes in that rules were read to the end by a call that was made at a time.
// That shows nothing where another instance has newer ones, or where the store has just
// come back from a copy that may lack the newest.
func (p *components) confirmRules(asked time.Time) {
	if rules := p.rules.Load(); rules != nil && rules.Version() < p.restoration.newestRules.Load() {
		return
	}

	settling := time.Duration(rulesSettleShare * float64(p.settings.Bounds.Revocation))
	if since, restored := p.restoration.since(asked); restored && since < settling && !p.restoration.rulesWritten.Load() {
		return
	}

	p.rulesCurrency.Confirm(asked)
}

// eraOf returns the era in which a whole set was read: another call may have seen a later one
// since.
func (p *components) eraOf(entries []feed.Entry) uint64 {
	if len(entries) > 0 {
		return entries[0].At.Era()
	}

	return p.store.Era()
}

// replaceRegister puts a whole set of backend servers in place of what was known, or, where
// it is the first of a new era, adds it to that. It returns what changed.
func (p *components) replaceRegister(now time.Time, era uint64, changes []register.Change) []register.Delta {
	newEra := p.restoration.registerRead && era > p.restoration.registerEra
	p.restoration.registerRead, p.restoration.registerEra = true, era

	if !newEra {
		return p.register.Replace(changes)
	}

	go func() {
		since, _ := p.restoration.since(now)
		clock.Sleep(context.Background(), p.clock, restoreSettleDuration-since)
		p.registerFeed.Reread()
	}()

	return p.register.Restore(changes)
}
