package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// Guards against reads of the store by instances that do not lead: a change of the rules wakes all
// leaders at once, and while they read at the same times the rules of the other instances get too
// old before the next heartbeat.
func TestRulesStayFreshAfterChangeWakesAllLeaders(t *testing.T) {
	const (
		revocation = 3 * time.Second
		// heartbeatDelay is that of a heartbeat and its echo in a small fleet, sent each 150 ms.
		heartbeatDelay = 300 * time.Millisecond
	)

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		clk := clock.System{}
		leaders := []fleet.InstanceID{"a", "b", "c", "d", "e"}
		source := &polledSource{change: make(chan struct{}), end: 1}
		bounds := settings.Bounds{Revocation: revocation}
		newest := &currency.Tracker{Clock: clk, MaxAge: maxRulesAge(bounds)}

		var readers sync.WaitGroup

		for _, id := range leaders {
			p := &components{clock: clk, rulesCurrency: newest, settings: settings.Entry{Instance: id, Bounds: bounds}}
			p.directory.Store(&directoryView{Directory: directory.Directory{Count: 9}})
			p.plan.Store(&topology.Plan{FullMesh: true, Leaders: leaders, InstanceCount: 9})

			f := &feed.Follower{
				Source: source, Clock: clk, Apply: func([]feed.Entry, bool) {}, Confirm: newest.Confirm,
				Timing: p.rulesPace,
			}

			readers.Go(func() { f.Run(ctx) })
		}

		var oldest time.Duration

		for range 4 {
			source.appendEntry()
			time.Sleep(10 * time.Millisecond)

			for range 600 {
				time.Sleep(10 * time.Millisecond)

				age, _ := newest.Age()
				oldest = max(oldest, age)
			}
		}

		cancel()
		readers.Wait()

		if got, most := oldest+heartbeatDelay, time.Duration(staleShare*float64(newest.MaxAge)); got > most {
			t.Errorf("age of the rules at an instance that does not lead: got %v, want at most %v", got, most)
		}
	})
}
