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
	// restoreSettleDuration is how long servers that a restored copy lacks are kept: by then
	// running servers have registered again, and the entries of others have expired.
	restoreSettleDuration = 5 * time.Second
	// rulesSettleShare is the fraction of the bound on the age of rules for which reads confirm
	// nothing after a restore: operators write again what the copy lacks.
	rulesSettleShare = 0.5
	// rewriteSpreadPerInstance is what each instance adds to the time over which all instances
	// write their records again that the copy lacks: 33 calls a second in total, regardless of the
	// number of instances.
	rewriteSpreadPerInstance = 30 * time.Millisecond
)

// restoration is what an instance knows of the newest era of the store. The era rises with each
// restore of the store from an older copy.
type restoration struct {
	// restoredAt is when the era rose, in Unix nanoseconds of the instance's clock; zero is never.
	restoredAt atomic.Int64
	// rulesWritten is set once rules were written in the newest era. newestRules is the newest
	// version of the rules that any other instance reported.
	rulesWritten atomic.Bool
	newestRules  atomic.Uint64
	// registerEra is the era of the last full snapshot of the register, and registerRead whether
	// there was one. Only the reader of the register uses them.
	registerRead bool
	registerEra  uint64
}

// since returns how long ago the era rose, and whether it ever did.
func (r *restoration) since(now time.Time) (time.Duration, bool) {
	restoredAt := r.restoredAt.Load()

	return now.Sub(time.Unix(0, restoredAt)), restoredAt != 0
}

// recordRulesVersion records that another instance has a version of the rules.
func (r *restoration) recordRulesVersion(version uint64) {
	for {
		newest := r.newestRules.Load()
		if version <= newest || r.newestRules.CompareAndSwap(newest, version) {
			return
		}
	}
}

// storeRestored handles a restore of the store from an older copy, which lacks the last writes. It
// does not block.
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

// observeEra handles an era that another instance reports. An instance that reads the store reads
// it again immediately; any other adopts a later era.
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

// confirmRules records that a read of the rules, requested at a time, reached their end. The read
// confirms nothing if another instance has newer rules, or if the store was just restored from a
// copy that may lack the newest ones.
func (p *components) confirmRules(requestedAt time.Time) {
	if rules := p.rules.Load(); rules != nil && rules.Version() < p.restoration.newestRules.Load() {
		return
	}

	settling := time.Duration(rulesSettleShare * float64(p.settings.Bounds.Revocation))
	if since, restored := p.restoration.since(requestedAt); restored && since < settling && !p.restoration.rulesWritten.Load() {
		return
	}

	p.rulesCurrency.Confirm(requestedAt)
}

// eraOf returns the era in which a full snapshot was read. The store's own era may have risen
// since through another call.
func (p *components) eraOf(entries []feed.Entry) uint64 {
	if len(entries) > 0 {
		return entries[0].At.Era()
	}

	return p.store.Era()
}

// replaceRegister replaces the known backend servers by a full snapshot. The first snapshot of a
// new era is merged instead, so that it removes no server, and another one is read later. It
// returns what changed.
func (p *components) replaceRegister(now time.Time, era uint64, changes []register.Change) []register.Delta {
	newEra := p.restoration.registerRead && era > p.restoration.registerEra
	p.restoration.registerRead, p.restoration.registerEra = true, era

	if !newEra {
		return p.register.Replace(changes)
	}

	go func() {
		since, _ := p.restoration.since(now)
		clock.Sleep(context.Background(), p.clock, restoreSettleDuration-since)
		p.registerFeed.RequestSnapshot()
	}()

	return p.register.Restore(changes)
}
