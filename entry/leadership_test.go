package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/replica"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// Guards against a leader that goes on pausing like an instance which others keep up to date: the
// register of all others gets too old, and they read the store themselves.
func TestInstanceReadsRegisterWhenItBeginsToLead(t *testing.T) {
	const drain = time.Second

	synctest.Test(t, func(t *testing.T) {
		clk := clock.System{}
		p := (&Entry{Clock: clk, Settings: settings.Entry{
			Instance: "a", Listen: settings.EntryListen{Peers: "127.0.0.1:1"},
			Bounds: settings.Bounds{Drain: drain, Revocation: 3 * time.Second, UsageWindow: time.Second},
		}}).build()
		p.directory.Store(&directoryView{Directory: directory.Directory{Count: 2}})
		p.plan.Store(&topology.Plan{FullMesh: true, Leaders: []fleet.InstanceID{"b"}, InstanceCount: 2})

		p.lastUpstream.Store(&replica.Upstream{Origin: true})

		p.registerFeed = &feed.Follower{
			Source: &polledSource{change: make(chan struct{}), end: 1}, Clock: clk, Timing: p.registerPace,
			Apply: func([]feed.Entry, bool) {}, Confirm: p.registerCurrency.Confirm,
		}

		ctx, cancel := context.WithCancel(t.Context())

		var reader sync.WaitGroup

		reader.Go(func() { p.registerFeed.Run(ctx) })
		time.Sleep(drain / 10)

		// No other instance is left, so that this one leads.
		if plan := p.updatePlan(clk.Now()); !plan.IsFirstLeader("a") {
			t.Fatalf("leaders: got %v, want a", plan.Leaders)
		}

		began := clk.Now()
		time.Sleep(drain)

		if got := p.registerFeed.LastRead(); !got.After(began) {
			t.Errorf("last read: got %v before it began to lead, want one after", began.Sub(got))
		}

		cancel()
		reader.Wait()
	})
}
