// Package quarantine keeps requests from backend servers that end each server which
// begins them.
//
// Such a request (a poison message) comes again under another id, at any entry instance,
// so that neither ids nor one instance's memory tell it from others. A Ledger counts, by
// Fingerprint, the servers that ended while a request ran there, and exchanges what it
// counts with the ledgers of the other instances. A request under which three servers
// ended as it began, or five at any time of its answer, is held off.
//
// Requests that ran beside it share its time and its servers and are innocent. Nothing
// counts against a request but the end of a server that had not said it would leave, and
// most of all an end at the very begin of the request's answer; and one whole answer to it
// clears it of all that was counted, at all instances.
//
// # Usage
//
//	var l quarantine.Ledger
//	f := quarantine.FingerprintOf(account, method, host, target, body)
//	if left, held := l.Held(now, f); held {
//		return refuse(left)
//	}
//	// Its server ended under it:
//	l.Lost(now, f, start, quarantine.Strong)
//	// Its whole answer came:
//	l.Answered(now, f)
//	// What others should know, and what they say:
//	send(l.News(now))
//	l.Hear(now, losses, relay)
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"monsoonlever/feed"
	"monsoonlever/register"
)

const (
	// strongEnds is how many servers have to end at a request's begin before it is held
	// off, as operators bear, and anyEnds how many at any time of its answer: one more than
	// a stream beside harmful requests loses, which is resumed and asked for again
	// (TestRequestsBesideAHarmfulOneAreServed).
	strongEnds = 3
	anyEnds    = 5
	// hold is how long after the newest end a request is held off. A caller that repeats
	// it is long gone by then, or has been told so for as long; it may then end one more
	// server before it is held off again.
	hold = 10 * time.Minute
	// kept is how long a request is remembered after the newest end under it.
	kept = 2 * hold
	// maxSuspects bounds the requests that are remembered, to 1.5 MB: with a server go all
	// requests that run there, some dozens, and each body may be new.
	maxSuspects = 2048
	// forgotten is the part of them that goes at once when there are more.
	forgotten = 4
	// sweepEvery is how often old suspects are dropped: far less than they are kept.
	sweepEvery = time.Minute
)

// Ledger remembers what ended under which request. The zero value is empty; it is safe for
// concurrent use.
type Ledger struct {
	// OnQuarantined is told when one more request is held off, and must not wait; it may be nil.
	// It is set before the first use.
	OnQuarantined func()

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	outbox   outbox
	// swept is when old suspects were last dropped.
	swept time.Time

	// counted is what the path of requests reads, without a lock: until when each suspect
	// with ends that count is held off, a time.Time by Fingerprint.
	counted sync.Map

	wake feed.Signal
}

// Quarantined tells whether a request is held off, and for how much longer.
func (l *Ledger) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	value, suspected := l.counted.Load(f)
	if !suspected {
		return 0, false
	}

	until, _ := value.(time.Time)

	return until.Sub(now), until.After(now)
}

// QuarantinedCount returns how many requests are held off.
func (l *Ledger) QuarantinedCount(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0

	for _, one := range l.suspects {
		if one.heldUntil().After(now) {
			n++
		}
	}

	return n
}

// RecordLoss takes in that a server ended under a request. The caller has made sure that the
// server has ended and had not said that it would.
func (l *Ledger) RecordLoss(now time.Time, f Fingerprint, s register.Process, e Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.take(now, Loss{Request: f, Server: keyOf(s), Evidence: e}, here)
}

// RecordAnswer takes in that a request was answered as a whole, so that it ends no servers.
func (l *Ledger) RecordAnswer(now time.Time, f Fingerprint) {
	if _, suspected := l.counted.Load(f); !suspected {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	one := l.suspects[f]
	if one == nil {
		return
	}

	for key, e := range one.ends {
		if !e.cleared {
			l.take(now, Loss{Request: f, Server: key, Cleared: true}, here)
		}
	}
}

// Merge takes in what another instance tells, or has recorded. What is new is told on if
// this instance passes news on.
func (l *Ledger) Merge(now time.Time, losses []Loss, passOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	from := heard
	if passOn {
		from = relayed
	}

	for _, loss := range losses {
		l.take(now, loss, from)
	}
}

// origin says how this instance knows of a loss.
type origin int

const (
	// heard losses are known to all that have to be told by whoever saw them.
	heard origin = iota
	// relayed ones are told on.
	relayed
	// here ones were seen by this instance.
	here
)

// take takes one loss in.
func (l *Ledger) take(now time.Time, loss Loss, from origin) {
	if l.suspects == nil {
		l.suspects = make(map[Fingerprint]*suspect)
	}

	one := l.suspects[loss.Request]
	if one == nil {
		one = &suspect{}
		l.suspects[loss.Request] = one
	}

	before := one.heldUntil()
	if !one.take(now.Add(-loss.ago()), loss, from == here) {
		return
	}

	if from != heard {
		l.outbox.add(loss)
		l.wake.Send()
	}

	l.show(loss.Request, one)

	if before.IsZero() && !one.heldUntil().IsZero() && l.OnQuarantined != nil {
		l.OnQuarantined()
	}

	l.sweep(now)
}

// show tells the path of requests of a suspect.
func (l *Ledger) show(f Fingerprint, one *suspect) {
	if all, _ := one.count(); all == 0 {
		l.counted.Delete(f)
	} else {
		l.counted.Store(f, one.heldUntil())
	}
}

// sweep drops suspects that are old or too many.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) >= sweepEvery {
		l.swept = now

		for f, one := range l.suspects {
			if now.Sub(one.newest) > kept {
				l.drop(f)
			}
		}
	}

	if len(l.suspects) > maxSuspects {
		l.forget()
	}
}

func (l *Ledger) drop(f Fingerprint) {
	delete(l.suspects, f)
	l.counted.Delete(f)
}

// forget drops those with the fewest ends, the oldest of them first.
func (l *Ledger) forget() {
	order := slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]
		ofX, _ := x.count()
		ofY, _ := y.count()

		return cmp.Or(cmp.Compare(ofX, ofY), x.newest.Compare(y.newest))
	})

	for _, f := range order[:len(order)/forgotten] {
		l.drop(f)
	}
}
