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

// copied is a log that may come back from an older copy of itself, and processes that read
// it, pause, and end.
type copied struct {
	now     time.Time
	era     uint64
	records []written
	cores   []*reader
	config  Config

	// acts are those that acted, each with its fence, in their order.
	acts []act
}

type written struct {
	at     time.Time
	era    uint64
	record Record
}

type act struct {
	core  int
	fence Fence
	at    time.Time
}

// reader is one process: its core, how far it has read, and until when it stands still.
type reader struct {
	core   *Core
	era    uint64
	next   int
	paused time.Time
}

func (c *copied) start(i int) {
	core, err := NewCore(c.config, "duties", Holder{
		Instance: fleet.InstanceID(fmt.Sprint("entry-", i)), Incarnation: fleet.Incarnation(c.now.UnixNano()),
	})
	if err != nil {
		panic(err)
	}

	c.cores[i] = &reader{core: core}
}

// round lets a process write what it has to, read to the end, and act if it may.
func (c *copied) round(i int) {
	r := c.cores[i]
	if c.now.Before(r.paused) {
		return
	}

	for _, command := range r.core.Step(c.now) {
		c.records = append(c.records, written{at: c.now, era: max(r.era, 0), record: command.Record})
	}

	c.read(r)

	if fence, err := r.core.Check(c.now); err == nil {
		c.acts = append(c.acts, act{core: i, fence: fence, at: c.now})
	}
}

func (c *copied) read(r *reader) {
	if r.era != c.era {
		if r.era != 0 {
			r.core.LogRolledBack(c.now)
		}

		r.era, r.next = c.era, 0
	}

	lost := false

	for ; r.next < len(c.records); r.next++ {
		one := c.records[r.next]

		if one.era < c.era {
			lost = true

			continue
		}

		at := feed.PositionOf(c.era, uint64(r.next))
		r.core.Observe(c.now, provider.Offset(at)+1, one.record)
	}

	if lost && r.core.quietUntil.IsZero() {
		// One that started after the log came back.
		r.core.LogRolledBack(c.now)
	}

	r.core.CaughtUp(c.now)
}

// restore brings the log back from a copy of some time ago.
func (c *copied) restore(ago time.Duration) {
	kept := 0
	for kept < len(c.records) && !c.records[kept].at.After(c.now.Add(-ago)) {
		kept++
	}

	c.records = c.records[:kept]
	c.era++
}

// However often the log comes back from an older copy, while processes start, end, stand
// still and read late: fences never fall, none is used by two, and nobody acts again under
// a grant that another's came after.
func TestHoldsLeaseOverOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &copied{
			now: time.Unix(1000, 0), era: 1, cores: make([]*reader, 3),
			config: Config{
				Term: 4 * time.Second, RenewInterval: time.Second, MaxOrderDelay: 500 * time.Millisecond, MaxReadGap: 5 * time.Second,
				Stagger: time.Second, MaxDrift: 0.001, SingleProcess: true,
			},
		}

		for i := range c.cores {
			c.start(i)
		}

		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(c.cores)-1).Draw(t, "process")

			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				c.restore(time.Duration(rapid.IntRange(0, 8000).Draw(t, "lost ms")) * time.Millisecond)
			case 1:
				c.start(i)
			case 2:
				c.cores[i].paused = c.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause ms")) * time.Millisecond)
			default:
				c.round(i)
			}
		}

		holders := make(map[Fence]int)

		for n, a := range c.acts {
			if holder, used := holders[a.fence]; used && holder != a.core {
				t.Fatalf("fence %d: got used by %d and %d, want one", a.fence, holder, a.core)
			}

			holders[a.fence] = a.core

			if n > 0 && a.fence < c.acts[n-1].fence {
				t.Fatalf("at %v: got fence %d after %d, want none that falls", a.at, a.fence, c.acts[n-1].fence)
			}
		}
	})
}
