package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

const (
	modelStep   = 5 * time.Millisecond
	modelWindow = 4 * time.Second
	// modelTolerance is how many times its limit a server tolerates, and modelExtra how many
	// requests more, in a window.
	modelTolerance = 1.5
	modelExtra     = 5
)

// fleetModel simulates instances that send to one limited server, without a network.
type fleetModel struct {
	random   *rand.Rand
	server   register.Process
	now      time.Time
	granters map[fleet.InstanceID]*Granter
	ids      []fleet.InstanceID
	// views are the leaders as each instance knows them.
	views map[fleet.InstanceID][]fleet.InstanceID
	// pendingViews are views that instances receive at a later time.
	pendingViews []pendingView
	silent       map[fleet.InstanceID]time.Time
	// lostFraction is the fraction of requests that do not reach the leader that ranks first.
	lostFraction float64
	// arrivals are the times at which requests reach the server.
	arrivals []time.Time
}

type pendingView struct {
	at      time.Time
	id      fleet.InstanceID
	leaders []fleet.InstanceID
}

func newFleetModel(n int, seed uint64) *fleetModel {
	m := &fleetModel{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), server: register.Process{ID: "server", Incarnation: 7},
		granters: make(map[fleet.InstanceID]*Granter), views: make(map[fleet.InstanceID][]fleet.InstanceID),
		silent: make(map[fleet.InstanceID]time.Time),
	}

	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		m.ids = append(m.ids, id)
		m.granters[id] = &Granter{Self: id}
	}

	return m
}

// elect chooses new leaders. Each instance learns them at a random time within the given
// duration.
func (m *fleetModel) elect(within time.Duration) {
	leaders := make([]fleet.InstanceID, 0, 5)
	for _, i := range m.random.Perm(len(m.ids))[:min(5, len(m.ids))] {
		leaders = append(leaders, m.ids[i])
	}

	for _, id := range m.ids {
		at := m.now
		if within > 0 {
			at = at.Add(time.Duration(m.random.Int64N(int64(within))))
		}

		m.pendingViews = append(m.pendingViews, pendingView{at: at, id: id, leaders: leaders})
	}
}

// applyViews applies the pending views that are due.
func (m *fleetModel) applyViews() {
	m.pendingViews = slices.DeleteFunc(m.pendingViews, func(l pendingView) bool {
		if l.at.After(m.now) {
			return false
		}

		m.views[l.id] = l.leaders
		m.granters[l.id].SetLeaders(m.now, l.leaders)

		return true
	})
}

// request does what Limiter.Acquire does: if the leader that ranks first is silent, the second
// one decides.
func (m *fleetModel) request(from fleet.InstanceID, rate Rate, maxWait time.Duration) {
	ranked := RankLeaders(m.server, m.views[from])

	for place, id := range ranked[:min(grantersPerServer, len(ranked))] {
		if m.now.Before(m.silent[id]) || place == 0 && m.random.Float64() < m.lostFraction {
			continue
		}

		if permit := m.granters[id].Grant(m.now, m.server, rate, maxWait); permit.Granted {
			m.arrivals = append(m.arrivals, m.now.Add(permit.Wait))
		}

		return
	}
}

// maxInWindow returns the highest number of arrivals in any window.
func (m *fleetModel) maxInWindow() int {
	slices.SortFunc(m.arrivals, time.Time.Compare)

	most, first := 0, 0

	for i, at := range m.arrivals {
		for at.Sub(m.arrivals[first]) > modelWindow {
			first++
		}

		most = max(most, i-first+1)
	}

	return most
}

func maxAllowed(rate Rate) int {
	return int(modelTolerance*float64(rate)*modelWindow.Seconds() + modelExtra)
}

// leaderChanges is a scenario in which the leaders that grant for one limited server change.
type leaderChanges struct {
	instances int
	seed      uint64
	rate      Rate
	// propagation is the time within which instances learn new leaders, and interval the time
	// between two changes.
	propagation, interval time.Duration
	maxWait               time.Duration
	lostFraction          float64
}

// run returns the highest number of requests in any window.
func (c leaderChanges) run() int {
	const span = 12 * time.Second

	m := newFleetModel(c.instances, c.seed)
	m.lostFraction = c.lostFraction
	m.elect(0)

	next := m.now.Add(c.interval)

	for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(modelStep) {
		if m.now.After(next) {
			m.elect(c.propagation)

			next = m.now.Add(c.interval)
		}

		if m.random.IntN(200) == 0 {
			m.silent[m.ids[m.random.IntN(len(m.ids))]] = m.now.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
		}

		m.applyViews()

		for range 3 {
			m.request(m.ids[m.random.IntN(len(m.ids))], c.rate, c.maxWait)
		}
	}

	return m.maxInWindow()
}

// However often the leaders change, whichever instances fall silent or learn changes late, all
// instances together stay within what a server tolerates.
func TestHoldsLimitAcrossLeaderChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := leaderChanges{
			instances:    rapid.SampledFrom([]int{1, 4, 9, 80}).Draw(t, "instances"),
			seed:         rapid.Uint64().Draw(t, "seed"),
			rate:         Rate(rapid.Float64Range(float64(MinRate), 40).Draw(t, "rate")),
			propagation:  time.Duration(rapid.Int64Range(0, int64(handoverPeriod)).Draw(t, "learns within")),
			interval:     time.Duration(rapid.Int64Range(int64(handoverPeriod), int64(12*time.Second)).Draw(t, "between changes")),
			maxWait:      time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "patience")),
			lostFraction: rapid.Float64Range(0, 0.9).Draw(t, "lost questions"),
		}

		if got, most := c.run(), maxAllowed(c.rate); got > most {
			t.Errorf("requests in %v at a limit of %v: got %d, want at most %d", modelWindow, c.rate, got, most)
		}
	})
}

// Regressions: a standby that granted more, and instances that granted the full rate as soon
// as they started, exceeded the limit.
func TestLimitHoldsInRegressionCases(t *testing.T) {
	for name, c := range map[string]leaderChanges{
		"most requests lost": {instances: 9, rate: 8, interval: handoverPeriod, maxWait: time.Second, lostFraction: 0.9},
		"reservations of earlier leaders": {
			instances: 9, rate: 16.125, propagation: 678655874, interval: handoverPeriod, maxWait: time.Second, lostFraction: 0.5,
		},
		"all start at the same time": {instances: 80, seed: 0x4cf, rate: 40, propagation: 1, interval: handoverPeriod, maxWait: 920 * time.Millisecond, lostFraction: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			if got, most := c.run(), maxAllowed(c.rate); got > most {
				t.Errorf("requests in %v at a limit of %v: got %d, want at most %d", modelWindow, c.rate, got, most)
			}
		})
	}
}

// sharedEvenly simulates the alternative strategy: each instance has an even share of the rate
// and sends no permit requests.
func sharedEvenly(n int, rate Rate, seed uint64, span, pace time.Duration) *fleetModel {
	m := newFleetModel(n, seed)
	buckets := make([]bucket, n)

	for i := range buckets {
		buckets[i] = bucket{updatedAt: m.now}
	}

	for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(pace) {
		i := m.random.IntN(n)
		if _, granted := buckets[i].take(m.now, float64(rate)/float64(n), 0); granted {
			m.arrivals = append(m.arrivals, m.now)
		}
	}

	return m
}

// A server receives the rate that it announced, whatever the number of instances. Under the
// same load, even shares give it too little or more than it tolerates: each of many instances
// saves one token, and all of these may be used together.
func TestServerReceivesAnnouncedRate(t *testing.T) {
	const (
		rate = 1.5
		span = 120 * time.Second
		pace = 25 * time.Millisecond
	)

	for _, n := range []int{9, 80, 195, 410} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			m := newFleetModel(n, 3)
			m.elect(0)
			m.applyViews()
			m.now = m.now.Add(handoverPeriod)

			for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(pace) {
				m.request(m.ids[m.random.IntN(n)], rate, 0)
			}

			even := sharedEvenly(n, rate, 3, span, pace)
			t.Logf("requests a second, most in %v: granted %.2f, %d; even shares %.2f, %d", modelWindow,
				float64(len(m.arrivals))/span.Seconds(), m.maxInWindow(), float64(len(even.arrivals))/span.Seconds(), even.maxInWindow())

			if got, want := float64(len(m.arrivals))/span.Seconds(), 0.9*rate; got < want {
				t.Errorf("requests a second: got %.2f, want at least %.2f of %.2f", got, want, rate)
			}

			if got, most := m.maxInWindow(), maxAllowed(rate); got > most {
				t.Errorf("requests in %v: got %d, want at most %d", modelWindow, got, most)
			}
		})
	}
}
