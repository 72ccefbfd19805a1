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

func (s *simulation) start(i int) {
	core, err := NewCore(s.config, "duties", Holder{
		Instance: fleet.InstanceID(fmt.Sprint("entry-", i)), Incarnation: fleet.Incarnation(s.now.UnixNano()),
	})
	if err != nil {
		panic(err)
	}

	s.processes[i] = &process{core: core}
}

// step lets a process append its records, read to the end of the log, and check its lease.
func (s *simulation) step(i int) {
	p := s.processes[i]
	if s.now.Before(p.pausedUntil) {
		return
	}

	for _, command := range p.core.Step(s.now) {
		s.records = append(s.records, logRecord{appendedAt: s.now, era: max(p.era, 0), record: command.Record})
	}

	s.read(p)

	if fence, err := p.core.Check(s.now); err == nil {
		s.checks = append(s.checks, passedCheck{process: i, fence: fence, at: s.now})
	}
}

func (s *simulation) read(p *process) {
	if p.era != s.era {
		if p.era != 0 {
			p.core.LogRolledBack(s.now)
		}

		p.era, p.next = s.era, 0
	}

	lost := false

	for ; p.next < len(s.records); p.next++ {
		entry := s.records[p.next]

		if entry.era < s.era {
			lost = true

			continue
		}

		at := feed.PositionOf(s.era, uint64(p.next))
		p.core.Observe(s.now, provider.Offset(at)+1, entry.record)
	}

	if lost && p.core.noAcquireBefore.IsZero() {
		// The process started after the log was restored.
		p.core.LogRolledBack(s.now)
	}

	p.core.CaughtUp(s.now)
}

// rollBackLog restores the log to its state at the current time minus ago.
func (s *simulation) rollBackLog(ago time.Duration) {
	retained := 0
	for retained < len(s.records) && !s.records[retained].appendedAt.After(s.now.Add(-ago)) {
		retained++
	}

	s.records = s.records[:retained]
	s.era++
}

// Guards against a lease that two processes use after the log was restored from an older copy
// while processes restart, pause and read late: fencing tokens never decrease, no two processes
// use the same token, and no process uses a grant after a newer one was used.
func TestHoldsLeaseAcrossLogRollbacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			now: time.Unix(1000, 0), era: 1, processes: make([]*process, 3),
			config: Config{
				Term: 4 * time.Second, RenewInterval: time.Second, MaxOrderDelay: 500 * time.Millisecond, MaxReadGap: 5 * time.Second,
				Stagger: time.Second, MaxDrift: 0.001, SingleProcess: true,
			},
		}

		for i := range s.processes {
			s.start(i)
		}

		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")

			switch rapid.IntRange(0, 20).Draw(t, "action") {
			case 0:
				s.rollBackLog(time.Duration(rapid.IntRange(0, 8000).Draw(t, "lost ms")) * time.Millisecond)
			case 1:
				s.start(i)
			case 2:
				s.processes[i].pausedUntil = s.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause ms")) * time.Millisecond)
			default:
				s.step(i)
			}
		}

		holders := make(map[Fence]int)

		for n, a := range s.checks {
			if holder, used := holders[a.fence]; used && holder != a.process {
				t.Fatalf("fence %d: got used by processes %d and %d, want one", a.fence, holder, a.process)
			}

			holders[a.fence] = a.process

			if n > 0 && a.fence < s.checks[n-1].fence {
				t.Fatalf("at %v: got fence %d after %d, want no decrease", a.at, a.fence, s.checks[n-1].fence)
			}
		}
	})
}
