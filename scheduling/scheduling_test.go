package scheduling

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

var now = time.Unix(1000, 0)

// engines returns a scheduler in domain "a" with n engines of the given number of slots.
func engines(n, slots int) *Scheduler {
	s := &Scheduler{Domain: "a"}

	var servers []register.Server
	for i := range n {
		servers = append(servers, register.Server{
			ID: fleet.InstanceID(fmt.Sprint("i-", i)), Service: "llm", Domain: "a", Slots: slots,
		})
	}

	s.Update(servers)

	return s
}

func promptRequest(session string) Request {
	return Request{Service: "llm", Prompt: Prompt{Tokens: 12_000, Segments: []Segment{
		{ID: "system", Tokens: 512}, {ID: session, Tokens: 4870}, {ID: session + "-own", Tokens: 6618},
	}}}
}

func pick(t *testing.T, s *Scheduler, r Request) *Assignment {
	t.Helper()

	a, err := s.Pick(now, r)
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// All instances prefer the same server for a session without exchanging messages.
func TestInstancesAgreeOnHomeOfSession(t *testing.T) {
	here, there := engines(12, 64), engines(12, 64)
	used := map[fleet.InstanceID]bool{}

	for i := range 56 {
		r := promptRequest(fmt.Sprint("session-", i))

		got, want := pick(t, here, r).ID(), pick(t, there, r).ID()
		if got != want {
			t.Errorf("session %d: got homes %s and %s, want the same", i, got, want)
		}

		used[got] = true
	}

	if len(used) < 10 {
		t.Errorf("homes of 56 sessions: got %d of 12 servers, want 10 or more", len(used))
	}
}

// A session with many requests uses other servers once waiting at the home costs more than
// reading the prefix again.
func TestHotSessionSpreads(t *testing.T) {
	s := engines(6, 64)
	used := map[fleet.InstanceID]int{}

	for range 60 {
		a := pick(t, s, promptRequest("hot"))
		a.Start(now)
		used[a.ID()]++
	}

	for id, n := range used {
		if n > 15 {
			t.Errorf("%s: got %d of 60 concurrent prompts, want at most 15", id, n)
		}
	}

	if len(used) < 6 {
		t.Errorf("servers: got %d, want all 6", len(used))
	}
}

func TestPickSkipsServerWithoutFreeSlot(t *testing.T) {
	s := engines(4, 2)
	used := map[fleet.InstanceID]int{}

	for i := range 8 {
		a := pick(t, s, promptRequest(fmt.Sprint("session-", i)))
		a.Start(now)
		a.FirstEventReceived(now)
		used[a.ID()]++
	}

	for id, n := range used {
		if n != 2 {
			t.Errorf("%s: got %d requests in 2 slots, want 2", id, n)
		}
	}
}

func TestPickAvoidsServerWithHighFailureRate(t *testing.T) {
	s := engines(3, 64)
	bad := pick(t, s, promptRequest("x")).ID()

	for range 20 {
		for _, srv := range s.servers {
			srv.recordOutcome(now, srv.entry().ID == bad)
		}
	}

	if got := pick(t, s, promptRequest("x")).ID(); got == bad {
		t.Errorf("got %s, which fails all requests, want another", got)
	}

	// If all servers fail alike, the cause is the service itself.
	s = engines(3, 64)
	home := pick(t, s, promptRequest("x")).ID()

	for range 20 {
		for _, srv := range s.servers {
			srv.recordOutcome(now, true)
		}
	}

	if got := pick(t, s, promptRequest("x")).ID(); got != home {
		t.Errorf("got %s, want the home %s", got, home)
	}
}

func TestLeavingServerIsNotPickedOrStarted(t *testing.T) {
	s := engines(2, 64)
	first := pick(t, s, promptRequest("x"))
	first.AnnouncedLeaving()

	if first.Start(now) {
		t.Error("start at a leaving server: got true, want false")
	}

	if got := pick(t, s, promptRequest("x")).ID(); got == first.ID() {
		t.Errorf("got %s, which is leaving", got)
	}
}

func TestEndClearsRunningAndPending(t *testing.T) {
	s := engines(1, 64)

	for i, result := range []Result{Served, Failed, Unreachable, Rejected, Cancelled} {
		a := pick(t, s, promptRequest("x"))
		a.Start(now)

		if i%2 == 0 {
			a.FirstEventReceived(now)
		}

		a.End(now, result)
		a.End(now, result)
	}

	srv := s.servers["i-0"]
	if srv.running.Load() != 0 || srv.pendingTokens.Load() != 0 {
		t.Errorf("after all attempts ended: got %d running and %d pending, want 0", srv.running.Load(), srv.pendingTokens.Load())
	}
}

func TestUnknownCacheDoesNotRaiseMeasuredSpeed(t *testing.T) {
	s := engines(1, 64)
	now := time.Unix(1000, 0)

	// Each prompt has 9,000 shared tokens that the server holds for another instance,
	// and 3,000 of its own, read in 100 ms.
	for i := range 2 * speedSamples {
		prompt := Prompt{Tokens: 12_000, Segments: []Segment{
			{ID: fmt.Sprintf("shared-%d", i), Tokens: 9_000}, {ID: fmt.Sprintf("own-%d", i), Tokens: 3_000},
		}}

		a, err := s.Pick(now, Request{Service: "llm", Prompt: prompt})
		if err != nil || !a.Start(now) {
			t.Fatalf("placing a prompt: got %v, want a server", err)
		}

		now = now.Add(100 * time.Millisecond)
		a.FirstEventReceived(now)
		a.End(now, Served)
	}

	work := s.Work(now)
	if len(work) != 1 {
		t.Fatalf("measured services: got %d, want 1", len(work))
	}

	if got, want := work[0].Speed, 30_000.0; got < 0.9*want || got > 1.1*want {
		t.Errorf("speed: got %.0f tokens a second, want about %.0f", got, want)
	}

	if got, want := work[0].Arriving, 30_000.0; got < 0.8*want || got > 1.2*want {
		t.Errorf("arriving work: got %.0f tokens a second, want about %.0f", got, want)
	}
}

// A load that a server reported to one instance keeps other instances from sending it more.
func TestLoadsOfOtherInstancesAreUsed(t *testing.T) {
	here, there := engines(2, 4), engines(2, 4)
	r := Request{Service: "llm", Prompt: Prompt{Tokens: 500}}

	there.RecordLoad(now, "i-0", Load{Running: 4, Waiting: 3, Slots: 4})

	update := there.TakeUpdate(now.Add(50*time.Millisecond), Upstream)
	if len(update.Loads) != 1 || update.Loads[0].Requests != 7 || update.Loads[0].AgeMs != 50 {
		t.Fatalf("loads: got %+v, want 7 requests at i-0, 50 ms old", update.Loads)
	}

	there.RecordLoad(now, "i-1", Load{Running: 1})

	if stale := there.TakeUpdate(now.Add(2*time.Second), Upstream); len(stale.Loads) != 0 {
		t.Errorf("loads after 2 s: got %+v, want none", stale.Loads)
	}

	here.ApplyUpdate(now, "entry-2", Peer, update)

	for range 3 {
		a := pick(t, here, r)
		if a.ID() != "i-1" {
			t.Errorf("placed: got %s, want i-1, since the other server is full", a.ID())
		}

		a.Start(now)
	}

	// A report older than the newest one changes nothing.
	older := ServerUpdate{Loads: []ServerLoad{{Server: here.servers["i-0"].key, AgeMs: 1000}}}
	here.ApplyUpdate(now, "entry-2", Peer, older)

	if a := pick(t, here, r); a.ID() != "i-1" {
		t.Errorf("after an older report: got %s, want i-1", a.ID())
	}
}

// Many instances that know the same loads do not all pick the same server.
func TestInstancesDoNotHerd(t *testing.T) {
	// Eight servers have no request. Each of them is among the three sampled servers of about
	// 20 instances, with a standard deviation of 4.4.
	const instances, servers, maxPerServer = 600, 90, 50

	var loads []ServerLoad
	for i := range servers {
		loads = append(loads, ServerLoad{Server: keyOf(fmt.Sprint("i-", i)), Requests: uint16(i % 12)})
	}

	used := map[fleet.InstanceID]int{}

	for range instances {
		s := engines(servers, 16)
		s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Loads: loads})
		used[pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: 500}}).ID()]++
	}

	for id, n := range used {
		if n > maxPerServer {
			t.Errorf("%s: got %d of %d concurrent requests, want at most %d", id, n, instances, maxPerServer)
		}
	}
}

// The homes of a shared prefix are always among the few servers that are compared.
func TestHomesAreAlwaysCompared(t *testing.T) {
	s := engines(90, 16)
	r := promptRequest("session")
	want := homesOf((*s.pools.Load())["llm"], r.Prompt)[0].entry().ID

	for range 50 {
		if got := pick(t, s, r).ID(); got != want {
			t.Fatalf("placed: got %s, want the idle home %s", got, want)
		}
	}
}

// While a service has no server, Pick returns ErrNoServer for a prompt with a shared prefix.
func TestPickFailsWithoutServers(t *testing.T) {
	s := engines(0, 64)

	if _, err := s.Pick(now, promptRequest("x")); !errors.Is(err, ErrNoServer) {
		t.Errorf("pick: got %v, want %v", err, ErrNoServer)
	}
}
