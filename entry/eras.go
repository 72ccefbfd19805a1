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
	// copySettles is how long after a rise of the store's era a server that the copy lacks
	// still counts as there: those that live have registered again, and entries of those
	// that don't have lapsed.
	copySettles = 5 * time.Second
	// rulesSettle is the part of the bound on the age of rules for which, after a rise, reads
	// confirm nothing: operators write again what the copy lacks.
	rulesSettle = 0.5
	// writeAgain is what each instance adds to the time in which all write again what the
	// copy lacks of theirs: 33 calls a second in all, however many they are.
	writeAgain = 30 * time.Millisecond
)

// restoration is what an instance knows of the newest era of the store.
type restoration struct {
	// rose is when the era rose, in Unix nanoseconds of the instance's clock; zero is never.
	rose atomic.Int64
	// ruled is set once rules were written in the newest era, and newest is the newest version
	// of the rules that any instance had.
	ruled  atomic.Bool
	newest atomic.Uint64
	// registered is the era of the whole register that was read last, if it was read; both
	// are used by the reader of the register alone.
	read       bool
	registered uint64
}

// since returns how long ago the era rose.
func (r *restoration) since(now time.Time) (time.Duration, bool) {
	rose := r.rose.Load()

	return now.Sub(time.Unix(0, rose)), rose != 0
}

// noteVersion takes in that another instance has rules of a version.
func (r *restoration) noteVersion(version uint64) {
	for {
		told := r.newest.Load()
		if version <= told || r.newest.CompareAndSwap(told, version) {
			return
		}
	}
}

// eraRose takes in that the store came back from an older copy of itself, in which what was
// written last is missing. It does not wait.
func (p *parts) eraRose(era uint64) {
	now := p.clock.Now()
	p.restored.rose.Store(now.UnixNano())
	p.restored.ruled.Store(false)
	klog.InfoS("store came back from an older copy", "era", era)

	p.duties.lost(now, era)
	p.rulesFeed.Wake()
	p.registerFeed.Wake()

	if p.leads() || !p.few() {
		p.board.Wake()

		return
	}

	go func() {
		clock.Sleep(context.Background(), p.clock, rand.N(time.Duration(p.count())*writeAgain))
		p.board.Wake()
	}()
}

// noteEra reads the store at once where another instance has seen a later era, or goes by what
// that one says where this instance does not read the store.
func (p *parts) noteEra(era uint64) {
	if era <= p.store.Era() {
		return
	}

	if !p.direct() {
		p.store.Observe(era)

		return
	}

	p.rulesFeed.Wake()
	p.registerFeed.Wake()
}

// confirmRules takes in that rules were read to the end by a call that was made at a time.
// That shows nothing where another instance has newer ones, or where the store has just
// come back from a copy that may lack the newest.
func (p *parts) confirmRules(asked time.Time) {
	if rules := p.rules.Load(); rules != nil && rules.Version() < p.restored.newest.Load() {
		return
	}

	settling := time.Duration(rulesSettle * float64(p.settings.Bounds.Revocation))
	if since, rose := p.restored.since(asked); rose && since < settling && !p.restored.ruled.Load() {
		return
	}

	p.currency.Confirm(asked)
}

// eraOf returns the era in which a whole set was read: another call may have seen a later one
// since.
func (p *parts) eraOf(entries []feed.Entry) uint64 {
	if len(entries) > 0 {
		return entries[0].At.Era()
	}

	return p.store.Era()
}

// replaceRegister puts a whole set of backend servers in place of what was known, or, where
// it is the first of a new era, adds it to that. It returns what changed.
func (p *parts) replaceRegister(now time.Time, era uint64, changes []register.Change) []register.Delta {
	risen := p.restored.read && era > p.restored.registered
	p.restored.read, p.restored.registered = true, era

	if !risen {
		return p.register.Replace(changes)
	}

	go func() {
		since, _ := p.restored.since(now)
		clock.Sleep(context.Background(), p.clock, copySettles-since)
		p.registerFeed.RequestSnapshot()
	}()

	return p.register.Restore(changes)
}
