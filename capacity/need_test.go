package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// usualRate is the read rate of a server of usual pace, and promptSpeed the speed of single
	// prompts there, delays included; both in tokens a second.
	usualRate   = 95_000.0
	promptSpeed = 47_000.0
	// maxWait is half of the tightest objective for the first event.
	maxWait = 200 * time.Millisecond
)

// waitsAt returns the waits before prompts are read at the servers that remain of four failure domains
// after the loss of two, in rising order. Each prompt goes to the one of two servers, drawn at random,
// that has less to read. Prompts have 6,600 tokens in the mean with a heavy tail; 15 in 100 of them
// take 2.5 times as long.
func waitsAt(utilization float64) []time.Duration {
	const (
		servers    = 24
		prompts    = 100_000
		meanTokens = 6600.0
		maxTokens  = 54_600.0
		sigma      = 1.04 // a standard deviation of 1.4 times the mean
		slowShare  = 0.15
		slowFactor = 2.5
	)

	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	perSecond := utilization * servers * usualRate / meanTokens / (1 - slowShare + slowShare*slowFactor)
	waits := make([]time.Duration, 0, prompts)

	var (
		now       float64
		busyUntil [servers]float64
	)

	for range prompts {
		now += random.ExpFloat64() / perSecond

		server, other := random.IntN(servers), random.IntN(servers)
		if busyUntil[other] < busyUntil[server] {
			server = other
		}

		took := min(maxTokens, meanTokens*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)) / usualRate
		if random.Float64() < slowShare {
			took *= slowFactor
		}

		wait := max(0, busyUntil[server]-now)
		busyUntil[server] = now + wait + took
		waits = append(waits, time.Duration(wait*float64(time.Second)))
	}

	slices.Sort(waits)

	return waits
}

// waitOf95At returns the wait that 95 of 100 prompts don't exceed.
func waitOf95At(utilization float64) time.Duration {
	waits := waitsAt(utilization)

	return waits[len(waits)*95/100]
}

// measuredState returns the state of a service whose servers tell their pace.
func measuredState(m *fakeCloud, now time.Time, arriving float64) ServiceState {
	s := m.state(now, arriving)
	s.MaxPerDomain = 30
	s.ServerRate, s.ReadRate, s.ReadArrivalRate = promptSpeed, usualRate, arriving
	s.Pace = float64(s.serverCount())

	return s
}

// simulateMeasured runs the planner as simulate does, with loads by time.
func simulateMeasured(m *fakeCloud, p *Planner, from time.Time, duration time.Duration, state func(time.Time) ServiceState) time.Time {
	for now := from; now.Before(from.Add(duration)); now = now.Add(tick) {
		for _, o := range p.Plan(now, state(now)) {
			p.RecordResult(now, o, true, m.apply(now, o))
		}
	}

	return from.Add(duration)
}

// The load: long prompts with a heavy tail, whose callers expect the first event within 400 ms at
// the tightest. Half of that is left for the wait before a prompt is read. 95 of 100 prompts wait no
// longer while two of four failure domains are away.
func TestUtilizationKeepsWaitsAfterLosses(t *testing.T) {
	if got := waitOf95At(maxReadingAfterLosses); got > maxWait {
		t.Errorf("wait after losses: got %v, want at most %v", got, maxWait)
	}

	if got, least := waitOf95At(maxReadingAfterLosses+0.05), maxWait; got < least {
		t.Errorf("wait at a twentieth more: got %v, want more than %v, or fewer servers would do", got, least)
	}

	if got := waitOf95At(maxReadingAfterLosses / 2); got > maxWait/2 {
		t.Errorf("wait before losses: got %v, want at most %v", got, maxWait/2)
	}
}

// Fixed delays make single prompts slow without making servers busy: by the read rate half of the
// servers carry the load, also after the loss of two failure domains.
func TestReadRatePlansByReading(t *testing.T) {
	const arriving = 900_000

	s := measuredState(newFakeCloud(), begin, arriving)
	got := (&Planner{}).updateWanted(begin, s)

	s.ReadRate = 0
	bySpeed := (&Planner{}).updateWanted(begin, s)

	if want := int(math.Ceil(arriving / (usualRate * 0.35))); got != want || bySpeed != 62 {
		t.Errorf("servers: got %d by read rate and %d by speed, want %d and 62", got, bySpeed, want)
	}

	if use := arriving / (float64(got) / 2 * usualRate); use > maxReadingAfterLosses {
		t.Errorf("utilization without two of four domains: got %.2f, want at most %.2f", use, maxReadingAfterLosses)
	}
}

// Slow servers count for less, so that more of them are wanted.
func TestSlowerServersAreWantedInLargerNumber(t *testing.T) {
	s := measuredState(newFakeCloud(), begin, 900_000)
	s.Pace *= 0.7

	if got, want := (&Planner{}).updateWanted(begin, s), int(math.Ceil(900_000/(usualRate*0.7*0.35))); got != want {
		t.Errorf("servers of pace 0.7: got %d, want %d", got, want)
	}
}

// Long answers occupy slots for long after their prompts were read. The slots that are left after
// the loss of two failure domains hold the requests in progress.
func TestSlotsBoundServersFromBelow(t *testing.T) {
	const present = 9

	for _, tt := range []struct {
		taken float64
		known bool
		bound Bound
	}{
		{taken: 0.9, known: true, bound: Slots},
		{taken: 2, known: true, bound: Slots},
		{taken: 0.05, known: true, bound: Reading},
		{taken: 0.9, bound: Reading},
	} {
		p := &Planner{}
		s := measuredState(newFakeCloud(), begin, 300_000)
		s.Occupancy, s.OccupancyKnown = tt.taken, tt.known
		got := p.updateWanted(begin, s)

		if bound := p.Bound(begin, service); bound != tt.bound {
			t.Errorf("occupancy %v: got bound %s, want %s", tt.taken, bound, tt.bound)
		}

		if use := tt.taken * present / (float64(got) / 2); tt.known && use > maxSlotsAfterLosses+1e-9 {
			t.Errorf("occupancy %v: got %.2f of the slots in use after losses, want at most %.2f", tt.taken, use, maxSlotsAfterLosses)
		}
	}
}

// The load: a burst of 1.7 times the usual for 3 s, which is over before servers ordered for it
// would boot. The spare servers carry it.
func TestShortBurstOrdersNoServers(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		factor float64
		lasts  time.Duration
		want   int
	}{
		{desc: "shorter than a boot", factor: 1.7, lasts: 3 * time.Second, want: 28},
		{desc: "longer than a boot", factor: 1.7, lasts: 10 * time.Second, want: 47},
		{desc: "more than the spare servers carry", factor: 4, lasts: 3 * time.Second, want: 55},
	} {
		m, p := newFakeCloud(), &Planner{}
		now := simulateMeasured(m, p, begin, 50*time.Second, func(at time.Time) ServiceState { return measuredState(m, at, 900_000) })

		if got, _ := p.Wanted(now, service); got != 28 {
			t.Fatalf("%s: got %d servers before the burst, want 28", tt.desc, got)
		}

		now = simulateMeasured(m, p, now, tt.lasts, func(at time.Time) ServiceState { return measuredState(m, at, 900_000*tt.factor) })

		if got, _ := p.Wanted(now, service); got != tt.want {
			t.Errorf("%s: got %d servers wanted, want %d", tt.desc, got, tt.want)
		}
	}
}

// The load, averaged over 4 s as it is measured, varies by a tenth as prompts of all lengths come at
// random. The occupancy varies too, and half of its reports are lost. No server is released for
// that, and few are ordered.
func TestNoiseReleasesNoServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	m, p := newFakeCloud(), &Planner{}
	m.boot = 4 * time.Second
	kept, deviation := math.Exp(-tick.Seconds()/4), 0.0
	noisy := func(at time.Time) ServiceState {
		deviation = kept*deviation + math.Sqrt(1-kept*kept)*0.1*random.NormFloat64()
		s := measuredState(m, at, 900_000*(1+deviation))
		// 300 requests are in progress at servers of 32 slots.
		s.Occupancy = 300 * (1 + 0.1*random.NormFloat64()) / float64(32*max(s.serverCount(), 1))
		s.OccupancyKnown = random.IntN(2) == 0

		return s
	}

	now := simulateMeasured(m, p, begin, time.Minute, noisy)
	_, least := m.count(now)
	most, before := least, m.orders

	for range 100 {
		now = simulateMeasured(m, p, now, time.Second, noisy)
		_, reclaimable := m.count(now)
		least, most = min(least, reclaimable), max(most, reclaimable)
	}

	if got := waitOf95At(900_000 / (float64(least) / 2 * usualRate)); got > maxWait {
		t.Errorf("wait after losses with %d servers: got %v, want at most %v", least, got, maxWait)
	}

	// Twice the deviation above what the mean load needs.
	if most > 41 {
		t.Errorf("most servers under noise: got %d, want at most 41", most)
	}

	if got := m.orders - before; got > 24 {
		t.Errorf("orders in 100 s of noise: got %d, want at most 24", got)
	}
}

// The planner that takes over has the plan alone, and learns the read rate of the others.
func TestTakeoverKeepsServersWantedByReadRate(t *testing.T) {
	m, last := newFakeCloud(), &Planner{}
	now := simulateMeasured(m, last, begin, 50*time.Second, func(at time.Time) ServiceState { return measuredState(m, at, 900_000) })
	wanted, _ := last.Wanted(now, service)

	next := &Planner{}
	next.Restore(now, last.Plans(now))
	simulateMeasured(m, next, now, 40*time.Second, func(at time.Time) ServiceState {
		s := measuredState(m, at, 900_000)
		if at.Sub(now) < 2*time.Second {
			s.ReadArrivalRate, s.ReadRate, s.ServerRate = 0, 0, 0
		}

		if got, _ := next.Wanted(at, service); got != wanted {
			t.Fatalf("%v after the takeover: got %d servers wanted, want %d", at.Sub(now), got, wanted)
		}

		return s
	})
}

// Whatever servers and instances tell, the number of servers is within its bounds, and a false
// total pace changes it by a factor of two at most.
func TestHoldsServersWithAbsurdFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		absurd := rapid.SampledFrom([]float64{0, -1, 1e-300, 1, 1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)})
		s := measuredState(newFakeCloud(), begin, 900_000)
		honest := (&Planner{}).updateWanted(begin, s)

		s.Pace = absurd.Draw(t, "pace")
		if got := (&Planner{}).updateWanted(begin, s); got < honest/2 || got > 2*honest {
			t.Fatalf("pace %v: got %d servers, want half to twice %d", s.Pace, got, honest)
		}

		s.ReadRate, s.ReadArrivalRate = absurd.Draw(t, "rate"), absurd.Draw(t, "arriving")
		s.Occupancy, s.OccupancyKnown = absurd.Draw(t, "occupancy"), true

		if got := (&Planner{}).updateWanted(begin, s); got < len(s.Domains) || got > len(s.Domains)*s.MaxPerDomain {
			t.Fatalf("state %+v: got %d servers, want %d to %d", s, got, len(s.Domains), len(s.Domains)*s.MaxPerDomain)
		}
	})
}
