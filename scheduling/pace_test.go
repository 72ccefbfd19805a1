package scheduling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/pace"
	"monsoonlever/register"
)

// costBefore is the cost of a server whose work takes as long as that of all others.
func costBefore(s *server, now time.Time, uncached int, domain fleet.FailureDomain, poolFailureRate float64) float64 {
	load := s.load(now)
	cost := float64(s.pendingTokens.Load()+s.remotePending(now)) + requestCost*load + uncachedTokenCost*float64(uncached)

	if slots := float64(s.entry().Slots); slots > 0 {
		cost += queuedRequestCost * max(0, load+1-slots)
	}

	if s.entry().Domain != domain {
		cost += otherDomainCost
	}

	return cost + failureCost*max(0, s.failureRate(now)-poolFailureRate)
}

// chosenBefore returns the server of the least cost in a pool that is small enough to be compared
// whole, if the work of all servers takes as long.
func chosenBefore(s *Scheduler, pool []*server, r Request) fleet.InstanceID {
	home := homesOf(pool, r.Prompt)[0]
	cached := cachedBy(now, pool, r.Prompt.keys(), r.Prompt)

	if shared := r.Prompt.sharedTokens(); shared > 0 && slices.ContainsFunc(cached, func(n int) bool { return n >= shared }) {
		home = nil
	}

	rate := meanFailureRate(now, pool)

	var (
		chosen fleet.InstanceID
		least  float64
	)

	for i, srv := range pool {
		if !srv.eligible(now, &r) {
			continue
		}

		uncached := r.Prompt.uncachedTokens(cached[i], srv == home)
		if cost := costBefore(srv, now, uncached, s.Domain, rate) + srv.avoidanceCost(now, &r); chosen == "" || cost < least {
			chosen, least = srv.entry().ID, cost
		}
	}

	return chosen
}

// Servers that don't tell their slowness are placed on as if all had the same pace, whatever was
// learned of their answers.
func TestHoldsWithoutToldSlownessDecisionsAreThoseOfEqualPaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := engines(rapid.IntRange(1, 40).Draw(t, "servers"), 8)
		r := promptRequest(fmt.Sprint("session-", rapid.IntRange(0, 9).Draw(t, "session")))
		r.GapObjective = 100 * time.Millisecond

		if rapid.Bool().Draw(t, "plain") {
			r.Prompt = Prompt{}
		}

		for range rapid.IntRange(0, 60).Draw(t, "earlier requests") {
			a, err := s.Pick(now, r)
			if err != nil {
				t.Fatal(err)
			}

			a.Start(now)
			s.RecordLoad(now, a.ID(), Load{Running: rapid.IntRange(0, 12).Draw(t, "running"), Slots: 8})

			if rapid.Bool().Draw(t, "answered") {
				a.EventReceived(now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "took")) * time.Millisecond))
				a.End(now.Add(time.Second), Served)
			}
		}

		pool := (*s.pools.Load())["llm"]
		if got := s.pacesOf(now, "llm"); got != nil {
			t.Fatalf("paces: got %v, want none", got)
		}

		if got, want := homesAmong(pool, r.Prompt, nil), homesOf(pool, r.Prompt); got != want {
			t.Fatalf("homes: got %v, want %v", got, want)
		}

		uncached := r.Prompt.uncachedTokens(0, false)
		rate := meanFailureRate(now, pool)

		for _, srv := range pool {
			if got, want := srv.cost(now, uncached, "b", rate)+srv.pauseCost(now, &r), costBefore(srv, now, uncached, "b", rate); got != want {
				t.Fatalf("cost: got %v, want %v", got, want)
			}
		}

		if len(pool) <= maxFullComparison {
			a, err := s.Pick(now, r)
			if err != nil {
				t.Fatal(err)
			}

			if got, want := a.ID(), chosenBefore(s, pool, r); got != want {
				t.Fatalf("server: got %s, want %s", got, want)
			}

			if a.meter != nil {
				if rate := a.meter.medianReadRate(); rate > 0 && a.timeToRead(1000) != readTime(1000, rate) {
					t.Fatalf("time to read: got %v, want %v", a.timeToRead(1000), readTime(1000, rate))
				}
			}
		}

		if update := s.TakeUpdate(now, Upstream); len(update.Paces) > 0 {
			t.Fatalf("update: got paces %v, want none", update.Paces)
		}

		if total, told := s.TotalPace(now, "llm"); told || total != float64(len(pool)) {
			t.Fatalf("total pace: got %v, %v, want the number of servers and false", total, told)
		}
	})
}

// tellPaces makes a scheduler learn the read rates of its engines, by their number.
func tellPaces(s *Scheduler, n int, rate func(int) float64) {
	for i := range n {
		srv := s.servers[fleet.InstanceID(fmt.Sprint("i-", i))]
		s.RecordLoad(now, srv.entry().ID, Load{Slots: 64, Slowness: 1})

		for range 20 {
			srv.pace.add(now, reading, pace.SampleOf(rate(i)), true)
		}

		s.publishPace(srv, true)
	}
}

func uneven(i int) float64 { return 40_000 * []float64{0.7, 0.7, 1.7}[i%3] }

// Fast servers are the homes of more prefixes, and all instances agree on them.
func TestHomesFollowPace(t *testing.T) {
	here, there := engines(60, 64), engines(60, 64)
	tellPaces(here, 60, uneven)
	there.ApplyUpdate(now, "entry-2", Peer, here.TakeUpdate(now, Upstream))

	fast, differ := 0, 0

	const prefixes = 2000
	for i := range prefixes {
		p := promptRequest(fmt.Sprint("session-", i)).Prompt
		homeOf := func(s *Scheduler) *server {
			return homesAmong((*s.pools.Load())["llm"], p, s.pacesOf(now, "llm"))[0]
		}

		home := homeOf(here)
		if home.pace.overall() > 1 {
			fast++
		}

		if home.entry().ID != homeOf(there).entry().ID {
			differ++
		}
	}

	// 20 of 1.7 beside 40 of 0.7 have 0.55 of all speed.
	if got := float64(fast) / prefixes; got < 0.47 || got > 0.62 {
		t.Errorf("prefixes at the fast third: got %.2f, want about 0.55", got)
	}

	if differ > prefixes/50 {
		t.Errorf("prefixes whose homes differ between instances: got %d of %d, want at most one in 50", differ, prefixes)
	}
}

// A change of pace moves the homes of few prefixes.
func TestHomesStayWhilePacesVary(t *testing.T) {
	s := engines(60, 64)
	tellPaces(s, 60, uneven)

	pool := (*s.pools.Load())["llm"]
	homes := func(at time.Time) []*server {
		var homes []*server
		for i := range 500 {
			homes = append(homes, homesAmong(pool, promptRequest(fmt.Sprint("session-", i)).Prompt, s.pacesOf(at, "llm"))[0])
		}

		return homes
	}

	before := homes(now)
	random := rand.New(rand.NewPCG(1, 1))
	at := now

	for range 50 {
		at = at.Add(200 * time.Millisecond)

		for i, srv := range pool {
			srv.pace.add(at, reading, pace.SampleOf(uneven(i)*(0.5+random.Float64())), true)
		}
	}

	moved := 0

	for i, home := range homes(at) {
		if home != before[i] {
			moved++
		}
	}

	if moved > 25 {
		t.Errorf("homes that moved: got %d of 500, want at most one in 20", moved)
	}
}

// What one instance learned and was told reaches others, also by way of a relay, and with it the time
// to read.
func TestPacesReachOtherInstances(t *testing.T) {
	from, relay, to := engines(6, 64), engines(6, 64), engines(6, 64)
	relay.SetRelay(true)
	tellPaces(from, 6, uneven)
	from.RecordLoad(now.Add(time.Millisecond), "i-0", Load{Slots: 64, Slowness: 2.5})

	later := now.Add(10 * time.Millisecond)
	relay.ApplyUpdate(later, "from", Subscriber, from.TakeUpdate(later, Upstream))
	to.ApplyUpdate(later, "relay", Relay, relay.TakeUpdate(later, Downstream))

	if to.pacesOf(later, "llm") == nil {
		t.Fatal("paces: got none, want those that were told")
	}

	fast, slow := to.servers["i-2"], to.servers["i-1"]
	if got := fast.pace.of(reading) / slow.pace.of(reading); got < 2 || got > 2.6 {
		t.Errorf("ratio of paces: got %.2f, want about 2.4", got)
	}

	if got := to.servers["i-0"].pace.expectedSlowness(later); got < 2 {
		t.Errorf("slowness: got %.2f, want that which was told", got)
	}

	if got := slow.pace.readRate(later); got < 25_000 || got > 33_000 {
		t.Errorf("read rate: got %.0f, want about 28,000", got)
	}

	if got := len(to.TakeUpdate(later, Upstream).Paces); got != 0 {
		t.Errorf("paces that are sent back upstream: got %d, want none", got)
	}
}

// A new process of a server has no pace, and invalid figures of others change nothing.
func TestPaceEndsWithItsProcess(t *testing.T) {
	s := engines(3, 64)
	tellPaces(s, 3, uneven)

	key := s.servers["i-0"].key
	s.ApplyUpdate(now.Add(time.Millisecond), "entry-2", Peer, ServerUpdate{Paces: []ServerPace{
		{Server: key, Samples: []PaceSample{{Kind: 200, Rate: 1, Count: 1}, {Rate: -1, Count: 9}, {Rate: 1, Count: 0}}},
		{Server: 12345, SlownessPercent: 900},
	}})

	s.pacesOf(now, "llm")

	if got := s.servers["i-2"].pace.of(reading); got < 1.4 {
		t.Errorf("pace: got %.2f, want that which was learned", got)
	}

	var servers []register.Server
	for i := range 3 {
		servers = append(servers, register.Server{
			ID: fleet.InstanceID(fmt.Sprint("i-", i)), Service: "llm", Domain: "a", Slots: 64, Incarnation: 2,
		})
	}

	s.Update(servers)

	later := now.Add(time.Second)
	s.pacesOf(later, "llm")

	if got := s.servers["i-2"].pace.of(reading); got != 1 {
		t.Errorf("pace of a new process: got %.2f, want 1", got)
	}
}

// A server that is not known yet, or none of which is while the paces are first derived, is drawn as a
// usual one.
func TestUnknownServersAreDrawnAsUsual(t *testing.T) {
	s := engines(60, 64)
	p := promptRequest("session").Prompt
	pool := (*s.pools.Load())["llm"]
	paces := s.paces["llm"]

	if got, want := weightedHomesOf(pool, p, paces.fastest.load()), homesOf(pool, p); got != want {
		t.Errorf("homes before paces are derived: got %v, want those of equal servers", got)
	}

	for _, srv := range pool {
		if !paces.accepted(srv) {
			t.Fatal("draw before paces are derived: got one that is not accepted")
		}
	}

	tellPaces(s, 60, uneven)
	s.pacesOf(now, "llm")

	fresh := newServer(register.Server{ID: "fresh", Service: "llm"}, nil, paces)
	if got, want := fresh.pace.drawWeight(paces.fastest.load()), 1.0; got != want {
		t.Errorf("weight of a new server: got %.2f, want %v", got, want)
	}
}

// Requests that may use only one version leave the paces as they are: these are relative to all
// servers of the service.
func TestPacesAreRelativeToAllVersions(t *testing.T) {
	s := &Scheduler{Domain: "a"}

	var servers []register.Server
	for i := range 4 {
		servers = append(servers, register.Server{
			ID: fleet.InstanceID(fmt.Sprint("i-", i)), Service: "llm", Domain: "a", Slots: 64, Version: []fleet.Version{"1", "2"}[i%2],
		})
	}

	s.Update(servers)
	tellPaces(s, 4, func(i int) float64 { return 40_000 * []float64{0.5, 2}[i%2] })

	r := promptRequest("session")
	r.OnlyVersion, r.VersionFraction = "2", 1

	pick(t, s, r)

	for id, want := range map[fleet.InstanceID]float64{"i-0": 0.5, "i-1": 2} {
		if got := s.servers[id].pace.of(reading); got < 0.9*want || got > 1.1*want {
			t.Errorf("pace of %s: got %.2f, want about %v", id, got, want)
		}
	}
}

// A stream avoids servers whose pauses between events are longer than its caller wants, while others
// have room.
func TestStreamsAvoidServersThatWriteSlowly(t *testing.T) {
	s := engines(3, 64)
	tellPaces(s, 3, func(int) float64 { return 40_000 })

	for i := range 3 {
		srv := s.servers[fleet.InstanceID(fmt.Sprint("i-", i))]
		for range 20 {
			srv.pace.add(now, writing, pace.SampleOf([]float64{4, 4, 16}[i]), true)
		}
	}

	r := promptRequest("session")
	r.GapObjective = 400 * time.Millisecond

	for range 20 {
		a := pick(t, s, r)
		a.Start(now)

		if got, want := a.ID(), fleet.InstanceID("i-2"); got != want {
			t.Fatalf("server: got %s, want %s, which writes in time", got, want)
		}

		a.FirstEventReceived(now)
		a.End(now, Served)
	}
}

// A request without a prompt goes where it ends first.
func TestCallsGoWhereTheyEndFirst(t *testing.T) {
	s := engines(2, 6)

	for i, slowness := range []float64{1, 1} {
		s.RecordLoad(now, fleet.InstanceID(fmt.Sprint("i-", i)), Load{Slots: 6, Slowness: slowness})
	}

	s.RecordLoad(now.Add(time.Millisecond), "i-0", Load{Slots: 6, Slowness: 2.5})

	for i, want := range []fleet.InstanceID{"i-1", "i-1"} {
		a, err := s.Pick(now.Add(2*time.Millisecond), Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(now)

		if got := a.ID(); got != want {
			t.Errorf("call %d: got %s, want %s", i, got, want)
		}
	}
}

// No server gets more requests than it has slots while another one has free ones, whatever their paces.
func TestHoldsNoServerIsOverfullWhileOthersHaveSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers, slots = 6, 4

		s := engines(servers, slots)
		factor := rapid.SliceOfN(rapid.Float64Range(0.5, 2), servers, servers).Draw(t, "paces")
		tellPaces(s, servers, func(i int) float64 { return 40_000 * factor[i] })

		r := promptRequest("session")
		if rapid.Bool().Draw(t, "plain") {
			r.Prompt = Prompt{}
		}

		running := make(map[fleet.InstanceID]int)

		for i := range servers * slots {
			a, err := s.Pick(now, r)
			if err != nil {
				t.Fatal(err)
			}

			a.Start(now)

			if running[a.ID()]++; running[a.ID()] > slots {
				t.Fatalf("request %d: got %d at %s, want at most %d while others have slots", i, running[a.ID()], a.ID(), slots)
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{60, 3000} {
		for _, told := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/told=%v", servers, told), func(b *testing.B) {
				s := engines(servers, 64)
				if told {
					tellPaces(s, servers, uneven)
				}

				r := promptRequest("session")
				r.GapObjective = 400 * time.Millisecond

				for b.Loop() {
					if _, err := s.Pick(now, r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// One request in each refresh interval takes this time in addition.
func BenchmarkRefreshPaces(b *testing.B) {
	for _, servers := range []int{60, 3000} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			s := engines(servers, 64)
			tellPaces(s, servers, uneven)

			at := now

			for b.Loop() {
				at = at.Add(time.Second)
				s.paces["llm"].refresh(at, (*s.pools.Load())["llm"])
			}
		})
	}
}
