// Package pathprobe finds out to which backend servers an instance has a network path, so that
// callers' requests need not.
//
// After a connection to a server could not be opened, a few other servers of its service are
// dialled, and more of them as long as one of these can't be reached either. If a whole service
// can't be reached, the other services are checked as well. While nothing fails, nothing is
// dialled. Lost paths are tried again with a growing delay, few at a time, and more at a time
// once one is back, so that the end of a partition is found without a rush of dials.
//
// Policy decides what to dial, without a network; Prober dials.
//
// # Usage
//
//	p := &pathprobe.Prober{Clock: clk, Paths: scheduler.Paths, Dial: dial, Record: record}
//	go p.Run(ctx)
//	p.Suspect("payrun-api")
package pathprobe

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

const (
	// tickInterval is the time between two looks at what is to be dialled while a path is lost or
	// suspected.
	tickInterval = 50 * time.Millisecond
	// watchInterval is the time between two looks for silent servers.
	watchInterval = 100 * time.Millisecond
	// silentCheckInterval is the time between two checks of the same silent server: one that is
	// only slow costs a connection each time.
	silentCheckInterval = time.Second
)

// Prober dials backend servers. Its exported fields are set before Run.
type Prober struct {
	Clock clock.Clock
	// Paths returns the state of the paths to all servers.
	Paths func(now time.Time) map[fleet.Service][]scheduling.Path
	// Dial opens a connection to a server.
	Dial func(ctx context.Context, path scheduling.Path) error
	// Record is called with the result of each dial.
	Record func(path scheduling.Path, err error)
	// Silent returns the paths to servers that have not responded for longer than usual, and
	// SilentFailed is called with the error if no connection to one can be opened either.
	Silent       func(now time.Time) []scheduling.Path
	SilentFailed func(path scheduling.Path, err error)
	// StillLost is called when lost paths of a service were retried without success.
	StillLost func(service fleet.Service)

	wake feed.Signal
	mu   sync.Mutex
	// policy is guarded by mu.
	policy Policy
	// asked are the servers to check, guarded by mu.
	asked map[fleet.InstanceID]scheduling.Path
	// checkedAt is when each silent server was last checked. Only watch uses it.
	checkedAt map[fleet.InstanceID]time.Time
}

// Suspect has the other servers of a service checked, since one of them could not be reached.
func (p *Prober) Suspect(service fleet.Service) {
	p.mu.Lock()
	p.policy.Suspect(service)
	p.mu.Unlock()
	p.wake.Send()
}

// Check has a server checked whose connection ended without a response.
func (p *Prober) Check(path scheduling.Path) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.asked == nil {
		p.asked = make(map[fleet.InstanceID]scheduling.Path)
	}

	p.asked[path.ID] = path
}

// takeAsked returns the servers that Check was called for.
func (p *Prober) takeAsked() []scheduling.Path {
	p.mu.Lock()
	defer p.mu.Unlock()

	asked := slices.Collect(maps.Values(p.asked))
	clear(p.asked)

	return asked
}

// Run dials until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()

	group.Go(func() { p.verify(ctx) })
	group.Go(func() { p.watch(ctx) })

	for ctx.Err() == nil {
		for service, targets := range p.next() {
			group.Go(func() { p.probe(ctx, service, targets) })
		}

		if p.idle() {
			select {
			case <-p.wake.C():
			case <-ctx.Done():
			}

			continue
		}

		clock.Sleep(ctx, p.Clock, tickInterval)
	}
}

func (p *Prober) next() map[fleet.Service][]scheduling.Path {
	now := p.Clock.Now()
	paths := p.Paths(now)

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.policy.Next(now, paths)
}

func (p *Prober) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.policy.Idle()
}

// probe dials servers of a service at the same time.
func (p *Prober) probe(ctx context.Context, service fleet.Service, targets []scheduling.Path) {
	var (
		group  conc.WaitGroup
		mu     sync.Mutex
		failed int
	)

	for _, target := range targets {
		group.Go(func() {
			if err := p.check(ctx, target); err != nil && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()

				failed++
			}
		})
	}

	group.Wait()

	if failed == len(targets) {
		p.StillLost(service)
	}

	now := p.Clock.Now()
	paths := p.Paths(now)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.policy.Done(now, service, targets, failed, paths)
}

// verify dials one server of each service as soon as servers are known: an instance may start while
// its paths are cut, and the connection serves the first request otherwise.
func (p *Prober) verify(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()

	for ; ctx.Err() == nil; clock.Sleep(ctx, p.Clock, tickInterval) {
		paths := p.Paths(p.Clock.Now())
		if len(paths) == 0 {
			continue
		}

		for _, known := range paths {
			group.Go(func() {
				// Record has the result.
				_ = p.check(ctx, known[rand.IntN(len(known))])
			})
		}

		return
	}
}

// check dials a server and returns the error.
func (p *Prober) check(ctx context.Context, path scheduling.Path) error {
	err := p.Dial(ctx, path)
	if ctx.Err() == nil {
		p.Record(path, err)
	}

	return err
}

// watch checks the paths to silent servers until ctx ends. A request on an open connection does not
// show that its path is lost.
func (p *Prober) watch(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()

	for ; ctx.Err() == nil; clock.Sleep(ctx, p.Clock, watchInterval) {
		for _, path := range p.dueChecks(p.Clock.Now()) {
			group.Go(func() { p.checkSilent(ctx, path) })
		}
	}
}

// dueChecks returns the servers to check. One that is only silent is checked once in
// silentCheckInterval, one whose connection ended without a response as soon as it is known.
func (p *Prober) dueChecks(now time.Time) []scheduling.Path {
	if p.checkedAt == nil {
		p.checkedAt = make(map[fleet.InstanceID]time.Time)
	}

	maps.DeleteFunc(p.checkedAt, func(_ fleet.InstanceID, at time.Time) bool { return now.Sub(at) >= silentCheckInterval })

	due := p.takeAsked()

	for _, path := range p.Silent(now) {
		if _, checked := p.checkedAt[path.ID]; !checked {
			due = append(due, path)
		}
	}

	for _, path := range due {
		p.checkedAt[path.ID] = now
	}

	return due
}

// checkSilent dials a silent server.
func (p *Prober) checkSilent(ctx context.Context, path scheduling.Path) {
	if err := p.check(ctx, path); err != nil && ctx.Err() == nil {
		p.SilentFailed(path, err)
	}
}
