package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// simulation is a log that may be restored from an older copy, and processes that read it,
// pause and restart.
type simulation struct {
	now       time.Time
	era       uint64
	records   []logRecord
	processes []*process
	config    Config

	// checks holds the checks that succeeded, in order.
	checks []passedCheck
}

type logRecord struct {
	appendedAt time.Time
	era        uint64
	record     Record
}

type passedCheck struct {
	process int
	fence   Fence
	at      time.Time
}

// process holds the core of a process, its read position and the end of its pause.
type process struct {
	core        *Core
	era         uint64
	next        int
	pausedUntil time.Time
}

func (c *simulation) start(i int) {
	core, err := NewCore(c.config, "duties", Holder{
		Instance: fleet.InstanceID(fmt.Sprint("entry-", i)), Incarnation: fleet.Incarnation(c.now.UnixNano()),
	})
	if err != nil {
		panic(err)
	}

	c.processes[i] = &process{core: core}
}

// step lets a process append its records, read to the end of the log, and check its lease.
func (c *simulation) step(i int) {
	r := c.processes[i]
	if c.now.Before(r.pausedUntil) {
		return
	}

	for _, command := range r.core.Step(c.now) {
		c.records = append(c.records, logRecord{appendedAt: c.now, era: max(r.era, 0), record: command.Record})
	}

	c.read(r)

	if fence, err := r.core.Check(c.now); err == nil {
		c.checks = append(c.checks, passedCheck{process: i, fence: fence, at: c.now})
	}
}

func (c *simulation) read(r *process) {
	if r.era != c.era {
		if r.era != 0 {
			r.core.LogRolledBack(c.now)
		}

		r.era, r.next = c.era, 0
	}

	lost := false

	for ; r.next < len(c.records); r.next++ {
		entry := c.records[r.next]

		if entry.era < c.era {
			lost = true

			continue
		}

		at := feed.PositionOf(c.era, uint64(r.next))
		r.core.Observe(c.now, provider.Offset(at)+1, entry.record)
	}

	if lost && r.core.noAcquireBefore.IsZero() {
		// The process started after the log was restored.
		r.core.LogRolledBack(c.now)
	}

	r.core.CaughtUp(c.now)
}

// rollBackLog restores the log to its state at the current time minus ago.
func (c *simulation) rollBackLog(ago time.Duration) {
	retained := 0
	for retained < len(c.records) && !c.records[retained].appendedAt.After(c.now.Add(-ago)) {
		retained++
	}

	c.records = c.records[:retained]
	c.era++
}

// Guards against a lease that two processes use after the log was restored from an older copy
// while processes restart, pause and read late: fencing tokens never decrease, no two processes
// use the same token, and no process uses a grant after a newer one was used.
func TestHoldsLeaseAcrossLogRollbacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &simulation{
			now: time.Unix(1000, 0), era: 1, processes: make([]*process, 3),
			config: Config{
				Term: 4 * time.Second, RenewInterval: time.Second, MaxOrderDelay: 500 * time.Millisecond, MaxReadGap: 5 * time.Second,
				Stagger: time.Second, MaxDrift: 0.001, SingleProcess: true,
			},
		}

		for i := range c.processes {
			c.start(i)
		}

		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(c.processes)-1).Draw(t, "process")

			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				c.rollBackLog(time.Duration(rapid.IntRange(0, 8000).Draw(t, "lost ms")) * time.Millisecond)
			case 1:
				c.start(i)
			case 2:
				c.processes[i].pausedUntil = c.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause ms")) * time.Millisecond)
			default:
				c.step(i)
			}
		}

		holders := make(map[Fence]int)

		for n, a := range c.checks {
			if holder, used := holders[a.fence]; used && holder != a.process {
				t.Fatalf("fence %d: got used by processes %d and %d, want one", a.fence, holder, a.process)
			}

			holders[a.fence] = a.process

			if n > 0 && a.fence < c.checks[n-1].fence {
				t.Fatalf("at %v: got fence %d after %d, want no decrease", a.at, a.fence, c.checks[n-1].fence)
			}
		}
	})
}
