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

// scriptedPermits answers questions for permits.
type scriptedPermits struct {
	// rooms is when each server has room for the next request.
	roomAt map[fleet.InstanceID]time.Time
	asked  []fleet.InstanceID
}

func (p *scriptedPermits) Acquire(
	_ context.Context, server register.Process, _ ratelimit.Announcement, maxWait time.Duration,
) ratelimit.Permit {
	p.asked = append(p.asked, server.ID)
	wait := max(time.Until(p.roomAt[server.ID]), 0)

	return ratelimit.Permit{Granted: wait <= maxWait, Wait: wait}
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

// A server that has had what it announced is left to others; where one without a limit is
// left nothing waits and nothing is refused.
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
				t.Errorf("placed after %v, want at once", took)
			}
		}

		if got, want := p.asked, []fleet.InstanceID{"i-0"}; !slices.Equal(got, want) {
			t.Errorf("asked for room: got %v, want %v: one without room is not asked again", got, want)
		}

		time.Sleep(time.Second)

		if a, err := place(t, s, Request{Service: "llm"}); err != nil || a.ID() != "i-0" {
			t.Errorf("once it has room: got %v, %v, want i-0", a, err)
		}
	})
}

// Where all servers limit their requests, one that can begin in time waits, and one that
// can't is refused at once and knows when to come back.
func TestRequestWaitsForRoomOrIsRefused(t *testing.T) {
	const room = 200 * time.Millisecond

	for name, tt := range map[string]struct {
		wait   time.Duration
		served bool
	}{
		"room in time":     {wait: room, served: true},
		"room too late":    {wait: room - 1},
		"no time to wait":  {},
		"long after it is": {wait: time.Minute, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": began.Add(room), "i-1": began.Add(2 * room)}}
				s := limitedEngines(2, p, "i-0", "i-1")

				a, err := place(t, s, Request{Service: "llm", WaitUntil: began.Add(tt.wait)})
				took := time.Since(began)

				if tt.served {
					if err != nil || a.ID() != "i-0" || took != room {
						t.Errorf("got %v, %v after %v, want i-0 after %v", a, err, took, room)
					}

					return
				}

				var limit *NoRoomError
				if !errors.As(err, &limit) || limit.RetryAfter < room || took != 0 {
					t.Errorf("got %v after %v, want a NoRoomError at once, to come back after %v", err, took, room)
				}

				if got, want := len(p.asked), 2; got != want {
					t.Errorf("questions: got %d, want %d: when there is room is known then", got, want)
				}
			})
		})
	}
}

// Of many servers without room few are asked: each question takes a round trip.
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

		if got, most := len(p.asked), 2*maxPermitRequests; got > most {
			t.Errorf("servers asked: got %d, want at most %d", got, most)
		}
	})
}

// A caller that leaves while its request waits for room ends the wait.
func TestWaitForRoomEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": began.Add(time.Minute)}}
		s := limitedEngines(1, p, "i-0")
		ctx, leave := context.WithTimeout(t.Context(), time.Second)

		defer leave()

		_, err := s.Place(ctx, clock.System{}, Request{Service: "llm", WaitUntil: began.Add(time.Hour)})
		if took := time.Since(began); !errors.Is(err, context.DeadlineExceeded) || took != time.Second {
			t.Errorf("got %v after %v, want the end of the caller's time after 1s", err, took)
		}
	})
}

// A caller that leaves while its instance asks for room says nothing of the server.
func TestCancelledPermitRequestMarksNoServerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &scriptedPermits{roomAt: map[fleet.InstanceID]time.Time{"i-0": time.Now().Add(time.Minute)}}
		s := limitedEngines(1, p, "i-0")
		gone, leave := context.WithCancel(t.Context())

		leave()

		if _, err := s.Place(gone, clock.System{}, Request{Service: "llm"}); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}

		if s.servers["i-0"].full(time.Now()) {
			t.Error("after a caller that left: got a server without room, want it as before")
		}
	})
}

// All instances learn of a limit and of its end from one of them, through relays.
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

	// The answer to an earlier request that comes now says nothing of what holds now.
	r.members["a-2"].applyLimit(r.members["a-2"].servers["i-0"], ratelimit.Announcement{Rate: 1.5, At: now}, true)
	check(now.Add(2*time.Second), ratelimit.Unlimited)
}

// Instances that pass an announcement on to each other, again and again, don't take it for
// a newer one: its end would never be believed.
func TestForwardedAnnouncementKeepsItsAge(t *testing.T) {
	const networkDelay = 5 * time.Millisecond

	a, b := engines(1, 64), engines(1, 64)
	at := now

	changes := 0
	a.OnLimitChange = func(LimitChange) { changes++ }
	b.OnLimitChange = a.OnLimitChange

	// The rate is none that a number of fewer bits holds.
	a.applyLimit(a.servers["i-0"], ratelimit.Announcement{Rate: 1.4, At: at}, true)

	for range 200 {
		news := a.TakeUpdate(at, Upstream)
		at = at.Add(networkDelay)
		b.ApplyUpdate(at, "a", Peer, news)

		start := register.Process{ID: "i-0"}
		known := b.Merge(start, ratelimit.Announcement{})
		age := at.Sub(known.At)
		at = at.Add(networkDelay)
		a.Merge(start, ratelimit.Announcement{Rate: known.Rate, At: at.Add(-age)})
	}

	if changes != 2 {
		t.Errorf("changes of the limit: got %d, want one at each of 2 instances", changes)
	}

	if got, most := a.servers["i-0"].announcedLimit().At.Sub(now), 50*time.Millisecond; got > most {
		t.Errorf("after 200 exchanges: got an announcement %v younger, want at most %v", got, most)
	}
}

// A limit is that of one start of a server.
func TestLimitEndsWithServerProcess(t *testing.T) {
	s := engines(1, 64)
	s.applyLimit(s.servers["i-0"], ratelimit.Announcement{Rate: 1.5, At: now}, true)

	if got := s.LimitedServers(); got != 1 {
		t.Errorf("limited servers: got %d, want 1", got)
	}

	s.Update([]register.Server{{ID: "i-0", Incarnation: 99, Service: "llm", Slots: 64}})

	if got := s.LimitedServers(); got != 0 {
		t.Errorf("limited servers after a new start: got %d, want none", got)
	}
}
