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
	// modelBear is how many times its limit a server bears, and modelExtra how many
	// requests more, in a window.
	modelBear  = 1.5
	modelExtra = 5
)

// fleetModel is a number of instances that send to one limited server, without a network.
type fleetModel struct {
	random   *rand.Rand
	server   register.Process
	now      time.Time
	granters map[fleet.InstanceID]*Granter
	ids      []fleet.InstanceID
	// views are the instances that lead, as each knows them.
	views map[fleet.InstanceID][]fleet.InstanceID
	// learns are the views that instances have from a time on.
	learns []learning
	silent map[fleet.InstanceID]time.Time
	// lost is the part of questions that don't reach the first in order.
	lost float64
	// arrivals are when requests reach the server.
	arrivals []time.Time
}

type learning struct {
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

// elect has all instances learn, within a span, which ones lead from now on.
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

		m.learns = append(m.learns, learning{at: at, id: id, leaders: leaders})
	}
}

// learn gives instances the views that they have by now.
func (m *fleetModel) learn() {
	m.learns = slices.DeleteFunc(m.learns, func(l learning) bool {
		if l.at.After(m.now) {
			return false
		}

		m.views[l.id] = l.leaders
		m.granters[l.id].SetLeaders(m.now, l.leaders)

		return true
	})
}

// ask does what an Asker does: the second in order is asked where the first is silent.
func (m *fleetModel) ask(from fleet.InstanceID, rate Rate, patience time.Duration) {
	ranked := RankLeaders(m.server, m.views[from])

	for place, id := range ranked[:min(granters, len(ranked))] {
		if m.now.Before(m.silent[id]) || place == 0 && m.random.Float64() < m.lost {
			continue
		}

		if permit := m.granters[id].Grant(m.now, m.server, rate, patience); permit.Granted {
			m.arrivals = append(m.arrivals, m.now.Add(permit.Wait))
		}

		return
	}
}

// most returns the most arrivals in a window.
func (m *fleetModel) most() int {
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

func allowed(rate Rate) int {
	return int(modelBear*float64(rate)*modelWindow.Seconds() + modelExtra)
}

// changing is a limited server over whose requests other instances come to decide.
type changing struct {
	instances int
	seed      uint64
	rate      Rate
	// late is within which time an instance learns who leads, and between the time from
	// one change to the next.
	late, between time.Duration
	patience      time.Duration
	lost          float64
}

// play returns the most requests in a window.
func (c changing) play() int {
	const span = 12 * time.Second

	m := newFleetModel(c.instances, c.seed)
	m.lost = c.lost
	m.elect(0)

	next := m.now.Add(c.between)

	for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(modelStep) {
		if m.now.After(next) {
			m.elect(c.late)

			next = m.now.Add(c.between)
		}

		if m.random.IntN(200) == 0 {
			m.silent[m.ids[m.random.IntN(len(m.ids))]] = m.now.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
		}

		m.learn()

		for range 3 {
			m.ask(m.ids[m.random.IntN(len(m.ids))], c.rate, c.patience)
		}
	}

	return m.most()
}

// However often other instances come to lead, whichever fall silent and whichever know of
// it late, all instances together stay within what a server bears.
func TestHoldsLimitOverChangesOfLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := changing{
			instances: rapid.SampledFrom([]int{1, 4, 9, 80}).Draw(t, "instances"),
			seed:      rapid.Uint64().Draw(t, "seed"),
			rate:      Rate(rapid.Float64Range(float64(MinRate), 40).Draw(t, "rate")),
			late:      time.Duration(rapid.Int64Range(0, int64(settleSpan)).Draw(t, "learns within")),
			between:   time.Duration(rapid.Int64Range(int64(settleSpan), int64(12*time.Second)).Draw(t, "between changes")),
			patience:  time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "patience")),
			lost:      rapid.Float64Range(0, 0.9).Draw(t, "lost questions"),
		}

		if got, most := c.play(), allowed(c.rate); got > most {
			t.Errorf("requests in %v at a limit of %v: got %d, want at most %d", modelWindow, c.rate, got, most)
		}
	})
}

// Cases that once broke the limit: a stand-in that granted more, and instances that granted
// all of the rate as soon as they began.
func TestALimitHoldsInCasesThatBrokeIt(t *testing.T) {
	for name, c := range map[string]changing{
		"most questions lost": {instances: 9, rate: 8, between: settleSpan, patience: time.Second, lost: 0.9},
		"promises of those that led before": {
			instances: 9, rate: 16.125, late: 678655874, between: settleSpan, patience: time.Second, lost: 0.5,
		},
		"all begin at one time": {instances: 80, seed: 0x4cf, rate: 40, late: 1, between: settleSpan, patience: 920 * time.Millisecond, lost: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			if got, most := c.play(), allowed(c.rate); got > most {
				t.Errorf("requests in %v at a limit of %v: got %d, want at most %d", modelWindow, c.rate, got, most)
			}
		})
	}
}

// sharedEvenly is the other way to keep a limit: each instance has an even part of the
// rate and asks nobody.
func sharedEvenly(n int, rate Rate, seed uint64, span, pace time.Duration) *fleetModel {
	m := newFleetModel(n, seed)
	buckets := make([]bucket, n)

	for i := range buckets {
		buckets[i] = bucket{at: m.now}
	}

	for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(pace) {
		i := m.random.IntN(n)
		if _, granted := buckets[i].take(m.now, float64(rate)/float64(n), 0); granted {
			m.arrivals = append(m.arrivals, m.now)
		}
	}

	return m
}

// A server gets what it announced, whatever the number of instances. Even parts of the
// rate, in the same load, give it too little or more than it bears: each of many instances
// saves one request up, and all of these may come together.
func TestAServerGetsWhatItAnnounced(t *testing.T) {
	const (
		rate = 1.5
		span = 120 * time.Second
		pace = 25 * time.Millisecond
	)

	for _, n := range []int{9, 80, 195, 410} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			m := newFleetModel(n, 3)
			m.elect(0)
			m.learn()
			m.now = m.now.Add(settleSpan)

			for ended := m.now.Add(span); m.now.Before(ended); m.now = m.now.Add(pace) {
				m.ask(m.ids[m.random.IntN(n)], rate, 0)
			}

			even := sharedEvenly(n, rate, 3, span, pace)
			t.Logf("requests a second, most in %v: granted %.2f, %d; even parts %.2f, %d", modelWindow,
				float64(len(m.arrivals))/span.Seconds(), m.most(), float64(len(even.arrivals))/span.Seconds(), even.most())

			if got, want := float64(len(m.arrivals))/span.Seconds(), 0.9*rate; got < want {
				t.Errorf("requests a second: got %.2f, want at least %.2f of %.2f", got, want, rate)
			}

			if got, most := m.most(), allowed(rate); got > most {
				t.Errorf("requests in %v: got %d, want at most %d", modelWindow, got, most)
			}
		})
	}
}
