package scheduling

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// scriptedPermits grants permits at given times.
type scriptedPermits struct {
	// roomAt is when each server has room for the next request.
	roomAt    map[fleet.InstanceID]time.Time
	requested []fleet.InstanceID
	// level is the level of permits, and reports are those that were received.
	level   int
	reports []ratelimit.PermitReport
}

func (p *scriptedPermits) Acquire(
	_ context.Context, server register.Process, _ ratelimit.Announcement, maxWait time.Duration,
) ratelimit.Permit {
	p.requested = append(p.requested, server.ID)
	wait := max(time.Until(p.roomAt[server.ID]), 0)

	return ratelimit.Permit{Granted: wait <= maxWait, Wait: wait, Level: p.level}
}

// limitedEngines returns a scheduler with n servers, some of which announce a limit.
func limitedEngines(n int, p Permits, ids ...fleet.InstanceID) *Scheduler {
	s := engines(n, 64)
	s.Permits = p

	for _, id := range ids {
		s.applyLimit(s.servers[id], ratelimit.Announcement{Rate: 1, At: time.Now()}, true)
	}

	return s
}

func place(t *testing.T, s *Scheduler, r Request) (*Assignment, error) {
	t.Helper()

	return s.Place(t.Context(), clock.System{}, r)
}

// A server whose limit is used up is skipped. While a server without a limit is left, no request
// waits or is refused.
func TestServersWithoutRoomAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": time.Now().Add(time.Second)}}
		s := limitedEngines(2, p, "i-0")

		for range 4 {
			began := time.Now()

			a, err := place(t, s, Request{Service: "llm"})
			if err != nil || a.ID() != "i-1" {
				t.Fatalf("got %v, %v, want i-1", a, err)
			}

			a.Start(time.Now())

			if took := time.Since(began); took != 0 {
				t.Errorf("placed after %v, want immediately", took)
			}
		}

		if got, want := p.requested, []fleet.InstanceID{"i-0"}; !slices.Equal(got, want) {
			t.Errorf("permit requests: got %v, want %v: no second one to a server that is known to be full", got, want)
		}

		time.Sleep(time.Second)

		if a, err := place(t, s, Request{Service: "llm"}); err != nil || a.ID() != "i-0" {
			t.Errorf("once it has room: got %v, %v, want i-0", a, err)
		}
	})
}

// If all servers have limits, a request that can begin in time waits. One that can't is refused
// immediately, with the time to retry.
func TestRequestWaitsForRoomOrIsRefused(t *testing.T) {
	const roomAfter = 200 * time.Millisecond

	for name, tt := range map[string]struct {
		wait   time.Duration
		served bool
	}{
		"room in time":     {wait: roomAfter, served: true},
		"room too late":    {wait: roomAfter - 1},
		"no time to wait":  {},
		"room long before": {wait: time.Minute, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": began.Add(roomAfter), "i-1": began.Add(2 * roomAfter)}}
				s := limitedEngines(2, p, "i-0", "i-1")

				a, err := place(t, s, Request{Service: "llm", WaitUntil: began.Add(tt.wait)})
				took := time.Since(began)

				if tt.served {
					if err != nil || a.ID() != "i-0" || took != roomAfter {
						t.Errorf("got %v, %v after %v, want i-0 after %v", a, err, took, roomAfter)
					}

					return
				}

				var limit *NoRoomError
				if !errors.As(err, &limit) || limit.RetryAfter < roomAfter || took != 0 {
					t.Errorf("got %v after %v, want a NoRoomError immediately, with a retry after at least %v", err, took, roomAfter)
				}

				if got, want := len(p.requested), 2; got != want {
					t.Errorf("permit requests: got %d, want %d: the replies say when there is room", got, want)
				}
			})
		})
	}
}

// Permits are requested from only a few of many servers without room: each request takes a round
// trip.
func TestPermitRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &scriptedPermits{roomAt: make(map[fleet.InstanceID]time.Time)}
		s := limitedEngines(20, p)

		for id, srv := range s.servers {
			p.roomAt[id] = time.Now().Add(time.Minute)
			s.applyLimit(srv, ratelimit.Announcement{Rate: 1, At: time.Now()}, true)
		}

		if _, err := place(t, s, Request{Service: "llm", WaitUntil: time.Now().Add(time.Second)}); err == nil {
			t.Error("got a server, want none")
		}

		if got, most := len(p.requested), 2*maxPermitRequests; got > most {
			t.Errorf("permit requests: got %d, want at most %d", got, most)
		}
	})
}

// A request stops waiting for room when its context ends.
func TestWaitForRoomEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": began.Add(time.Minute)}}
		s := limitedEngines(1, p, "i-0")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)

		defer cancel()

		_, err := s.Place(ctx, clock.System{}, Request{Service: "llm", WaitUntil: began.Add(time.Hour)})
		if took := time.Since(began); !errors.Is(err, context.DeadlineExceeded) || took != time.Second {
			t.Errorf("got %v after %v, want the end of the context after 1s", err, took)
		}
	})
}

// A permit request that is cancelled by its caller does not mark the server as full.
func TestCancelledPermitRequestMarksNoServerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": time.Now().Add(time.Minute)}}
		s := limitedEngines(1, p, "i-0")
		cancelled, cancel := context.WithCancel(t.Context())

		cancel()

		if _, err := s.Place(cancelled, clock.System{}, Request{Service: "llm"}); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}

		if s.servers["i-0"].full(time.Now()) {
			t.Error("after a cancelled permit request: got a full server, want its state unchanged")
		}
	})
}

// All instances learn through relays that one of them received a limit, and that it was lifted.
func TestLimitsReachAllInstances(t *testing.T) {
	r := newRelayTopology()
	all := []*Scheduler{r.members["a-1"], r.members["a-2"], r.members["b-1"], r.relays["relay-a"], r.relays["relay-b"]}
	a := pick(t, all[0], Request{Service: "llm"})
	a.Start(now)

	check := func(at time.Time, want ratelimit.Rate) {
		t.Helper()

		for range 2 {
			r.exchange(at)
		}

		for i, s := range all {
			if got := s.servers["i-0"].announcedLimit().Rate; got != want {
				t.Errorf("instance %d: got a limit of %v, want %v", i, got, want)
			}
		}
	}

	a.AnnouncedLimit(now, 1.5)
	check(now, 1.5)

	later := pick(t, all[0], Request{Service: "llm"})
	later.Start(now.Add(time.Second))
	later.AnnouncedLimit(now.Add(2*time.Second), ratelimit.Unlimited)
	check(now.Add(2*time.Second), ratelimit.Unlimited)

	// A late answer to an earlier request does not bring the old limit back.
	r.members["a-2"].applyLimit(r.members["a-2"].servers["i-0"], ratelimit.Announcement{Rate: 1.5, At: now}, true)
	check(now.Add(2*time.Second), ratelimit.Unlimited)
}

// Instances that send an announcement back and forth don't take it for a newer one each time;
// otherwise the end of the limit would never be accepted.
func TestForwardedAnnouncementKeepsItsAge(t *testing.T) {
	const networkDelay = 5 * time.Millisecond

	a, b := engines(1, 64), engines(1, 64)
	at := now

	changes := 0
	a.OnLimitChange = func(LimitChange) { changes++ }
	b.OnLimitChange = a.OnLimitChange

	// The rate can't be represented in fewer bits.
	a.applyLimit(a.servers["i-0"], ratelimit.Announcement{Rate: 1.4, At: at}, true)

	for range 200 {
		update := a.TakeUpdate(at, Upstream)
		at = at.Add(networkDelay)
		b.ApplyUpdate(at, "a", Peer, update)

		process := register.Process{ID: "i-0"}
		known := b.Merge(process, ratelimit.Announcement{})
		age := at.Sub(known.At)
		at = at.Add(networkDelay)
		a.Merge(process, ratelimit.Announcement{Rate: known.Rate, At: at.Add(-age)})
	}

	if changes != 2 {
		t.Errorf("changes of the limit: got %d, want one at each of 2 instances", changes)
	}

	if got, most := a.servers["i-0"].announcedLimit().At.Sub(now), 50*time.Millisecond; got > most {
		t.Errorf("after 200 exchanges: got an announcement %v younger, want at most %v", got, most)
	}
}

// A limit belongs to one process of a server.
func TestLimitEndsWithServerProcess(t *testing.T) {
	s := engines(1, 64)
	s.applyLimit(s.servers["i-0"], ratelimit.Announcement{Rate: 1.5, At: now}, true)

	if got := s.LimitedServers(); got != 1 {
		t.Errorf("limited servers: got %d, want 1", got)
	}

	s.Update([]register.Server{{ID: "i-0", Incarnation: 99, Service: "llm", Slots: 64}})

	if got := s.LimitedServers(); got != 0 {
		t.Errorf("limited servers after a restart: got %d, want none", got)
	}
}

// Rejected is not used: no server of these tests is brittle.
func (p *scriptedPermits) Report(r ratelimit.PermitReport) { p.reports = append(p.reports, r) }
