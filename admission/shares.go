package admission

import (
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// shares computes this instance's share of each limit from the weights that
// the entry instances tell each other.
//
// The shares of all instances add up to at most the limit. An instance counts
// for itself only the least weight that it published in the last window, which
// no other can have missed; for another it counts the newest weight it knows,
// grown by as much as the other may have raised it since. So every instance
// divides by at least the sum of what all of them multiply with.
type shares struct {
	sharing Sharing
	started time.Time
	members map[fleet.InstanceID]*member
	own     history

	// What follows is computed by prepare.
	at     time.Time
	held   bool
	floors float64
	extras map[uint64]float64
}

const (
	// holdPart is the part of Spread for which computed shares may be used.
	holdPart = 4
	// forgetLapses is how many lapses a silent member stays a member.
	forgetLapses = 10
)

func (s *shares) hold() time.Duration {
	return s.sharing.PropagationDelay / holdPart
}

func (s *shares) window() time.Duration {
	return s.sharing.PropagationDelay + s.hold()
}

func (s *shares) alone() bool {
	return s.sharing.PropagationDelay <= 0
}

func (s *shares) start(now time.Time, sharing Sharing) {
	s.sharing = sharing
	s.started = now

	// Members may have joined before the first limits are in force.
	if s.members == nil {
		s.members = make(map[fleet.InstanceID]*member)
	}

	s.extras = make(map[uint64]float64)
}

func (s *shares) join(now time.Time, id fleet.InstanceID) {
	if s.members == nil {
		s.members = make(map[fleet.InstanceID]*member)
	}

	if s.members[id] == nil {
		s.members[id] = &member{joined: now, heard: now}
	}
}

func (s *shares) leave(id fleet.InstanceID) {
	delete(s.members, id)
}

func (s *shares) apply(now time.Time, id fleet.InstanceID, d Demand) {
	s.join(now, id)
	m := s.members[id]

	if m.told && d.At <= m.digest.At {
		return
	}

	m.heard = now
	m.digest = d
	m.told = true
}

// publish makes the next digest. A weight is the account's demand and an even
// part of the floor, but no more than maxGrowth times what was published lately.
func (s *shares) publish(now time.Time, accounts []*account) Demand {
	s.own = s.own.trim(now.Add(-s.window()))
	floor := s.nextFloor()
	p := published{at: now, floor: floor, weights: make(map[uint64]float64)}
	wanted := make([]AccountDemand, 0, len(accounts))

	for _, a := range accounts {
		weight := floor + a.measure(now)

		if len(s.own) > 0 {
			weight = min(weight, maxGrowth*s.own.least(a.hash))
		} else {
			weight = floor
		}

		if weight > floor {
			wanted = append(wanted, AccountDemand{Account: a.hash, Weight: float32(weight)})
		}
	}

	wanted = heaviest(wanted, s.sharing.DigestAccounts)

	for i, w := range wanted {
		p.weights[w.Account] = float64(wanted[i].Weight)
	}

	p.floor = float64(float32(floor))
	s.own = append(s.own, p)

	return Demand{At: now.UnixMilli(), Floor: float32(floor), Accounts: wanted}
}

// nextFloor returns the weight of accounts without demand.
func (s *shares) nextFloor() float64 {
	if len(s.own) == 0 {
		return firstWeight
	}

	even := s.sharing.EvenFraction / float64(len(s.members)+1)

	return min(even, maxGrowth*s.own.floor())
}

// heaviest keeps as many accounts as a digest has room for.
func heaviest(wanted []AccountDemand, room int) []AccountDemand {
	if len(wanted) <= room {
		return wanted
	}

	slices.SortFunc(wanted, func(a, b AccountDemand) int {
		switch {
		case a.Weight > b.Weight:
			return -1
		case a.Weight < b.Weight:
			return 1
		default:
			return 0
		}
	})

	return wanted[:room]
}

// prepare sums the weights of the other members.
func (s *shares) prepare(now time.Time) {
	if s.alone() {
		return
	}

	hearsMost := s.hearsMost(now)
	if hearsMost {
		s.forget(now)
	}

	s.own = s.own.trim(now.Add(-s.window()))
	s.at = now
	s.held = s.ready(now)
	s.floors = 0
	clear(s.extras)

	// The sums are used until the next prepare, so they count that time in.
	until := now.Add(s.hold())

	for _, m := range s.members {
		if hearsMost && now.Sub(m.heard) > s.sharing.MemberTimeout {
			continue
		}

		floor, grown := m.floor(until, s.sharing.PropagationDelay)
		floor = min(floor, s.maxWeight())
		s.floors += floor

		for _, a := range m.digest.Accounts {
			s.extras[a.Account] += min(float64(a.Weight)*grown, s.maxWeight()) - floor
		}
	}
}

// until returns when the computed shares must be computed anew.
func (s *shares) until(now time.Time) int64 {
	if s.alone() {
		return math.MaxInt64
	}

	return now.Add(s.hold()).UnixNano()
}

// maxWeight is the greatest weight that is ever published.
func (s *shares) maxWeight() float64 {
	return 1 + s.sharing.EvenFraction
}

// hearsMost tells whether this instance hears from most members. One that does
// not may be the one that is cut off, and goes on to count the silent.
func (s *shares) hearsMost(now time.Time) bool {
	silent := 0

	for _, m := range s.members {
		if now.Sub(m.heard) > s.sharing.MemberTimeout {
			silent++
		}
	}

	return len(s.members)+1-silent > silent
}

// forget drops members that have been silent for very long. Before that they
// are not weighed, but still count as members: else a minority that loses the
// others one by one would take itself for the rest of a majority.
func (s *shares) forget(now time.Time) {
	for id, m := range s.members {
		if now.Sub(m.heard) > forgetLapses*s.sharing.MemberTimeout {
			delete(s.members, id)
		}
	}
}

// of returns the share of one account, after prepare.
func (s *shares) of(hash uint64) float64 {
	if s.alone() {
		return 1
	}

	if !s.held {
		return 0
	}

	own := s.own.least(hash)

	return own / (own + s.floors + s.extras[hash])
}

// even returns an even share among the members, 0 for an instance that is alone.
func (s *shares) even() float64 {
	if s.alone() {
		return 0
	}

	return 1 / float64(len(s.members)+1)
}

// ready tells whether a digest of this instance is old enough for all to know it.
func (s *shares) ready(now time.Time) bool {
	if s.alone() {
		return true
	}

	return len(s.own) > 0 && !s.own[0].at.After(now.Add(-s.window()))
}
