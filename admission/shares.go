package admission

import (
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// shareCalculator computes this instance's share of each limit from the weights that
// the entry instances tell each other.
//
// The shareCalculator of all instances add up to at most the limit. An instance counts
// for itself only the least weight that it published in the last window, which
// no other can have missed; for another it counts the newest weight it knows,
// grown by as much as the other may have raised it since. So every instance
// divides by at least the sum of what all of them multiply with.
type shareCalculator struct {
	sharing    Sharing
	startedAt  time.Time
	members    map[fleet.InstanceID]*member
	ownDigests digestHistory

	// What follows is computed by prepare.
	computedAt  time.Time
	holdsShares bool
	floorSum    float64
	extraSums   map[uint64]float64
}

const (
	// validityDivisor is the part of Spread for which computed shares may be used.
	validityDivisor = 4
	// evictionTimeouts is how many lapses a silent member stays a member.
	evictionTimeouts = 10
)

func (s *shareCalculator) validity() time.Duration {
	return s.sharing.PropagationDelay / validityDivisor
}

func (s *shareCalculator) window() time.Duration {
	return s.sharing.PropagationDelay + s.validity()
}

func (s *shareCalculator) isSingleInstance() bool {
	return s.sharing.PropagationDelay <= 0
}

func (s *shareCalculator) configure(now time.Time, sharing Sharing) {
	s.sharing = sharing
	s.startedAt = now

	// Members may have joined before the first limits are in force.
	if s.members == nil {
		s.members = make(map[fleet.InstanceID]*member)
	}

	s.extraSums = make(map[uint64]float64)
}

func (s *shareCalculator) addMember(now time.Time, id fleet.InstanceID) {
	if s.members == nil {
		s.members = make(map[fleet.InstanceID]*member)
	}

	if s.members[id] == nil {
		s.members[id] = &member{joinedAt: now, lastSeen: now}
	}
}

func (s *shareCalculator) removeMember(id fleet.InstanceID) {
	delete(s.members, id)
}

func (s *shareCalculator) applyDigest(now time.Time, id fleet.InstanceID, d Demand) {
	s.addMember(now, id)
	m := s.members[id]

	if m.hasDigest && d.At <= m.digest.At {
		return
	}

	m.lastSeen = now
	m.digest = d
	m.hasDigest = true
}

// publish makes the next digest. A weight is the account's demand and an even
// part of the floor, but no more than maxGrowth times what was published lately.
func (s *shareCalculator) publish(now time.Time, accounts []*account) Demand {
	s.ownDigests = s.ownDigests.trim(now.Add(-s.window()))
	floor := s.nextFloor()
	p := publishedDigest{at: now, floor: floor, weights: make(map[uint64]float64)}
	wanted := make([]AccountDemand, 0, len(accounts))

	for _, a := range accounts {
		weight := floor + a.measureDemand(now)

		if len(s.ownDigests) > 0 {
			weight = min(weight, maxWeightGrowth*s.ownDigests.minWeight(a.hash))
		} else {
			weight = floor
		}

		if weight > floor {
			wanted = append(wanted, AccountDemand{Account: a.hash, Weight: float32(weight)})
		}
	}

	wanted = topDemands(wanted, s.sharing.DigestAccounts)

	for i, w := range wanted {
		p.weights[w.Account] = float64(wanted[i].Weight)
	}

	p.floor = float64(float32(floor))
	s.ownDigests = append(s.ownDigests, p)

	return Demand{At: now.UnixMilli(), Floor: float32(floor), Accounts: wanted}
}

// nextFloor returns the weight of accounts without demand.
func (s *shareCalculator) nextFloor() float64 {
	if len(s.ownDigests) == 0 {
		return initialWeight
	}

	even := s.sharing.EvenFraction / float64(len(s.members)+1)

	return min(even, maxWeightGrowth*s.ownDigests.minFloor())
}

// topDemands keeps as many accounts as a digest has room for.
func topDemands(wanted []AccountDemand, room int) []AccountDemand {
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

// recompute sums the weights of the other members.
func (s *shareCalculator) recompute(now time.Time) {
	if s.isSingleInstance() {
		return
	}

	majority := s.seesMajority(now)
	if majority {
		s.evictSilent(now)
	}

	s.ownDigests = s.ownDigests.trim(now.Add(-s.window()))
	s.computedAt = now
	s.holdsShares = s.ready(now)
	s.floorSum = 0
	clear(s.extraSums)

	// The sums are used until the next prepare, so they count that time in.
	until := now.Add(s.validity())

	for _, m := range s.members {
		if majority && now.Sub(m.lastSeen) > s.sharing.MemberTimeout {
			continue
		}

		floor, growth := m.maxFloor(until, s.sharing.PropagationDelay)
		floor = min(floor, s.maxWeight())
		s.floorSum += floor

		for _, a := range m.digest.Accounts {
			s.extraSums[a.Account] += min(float64(a.Weight)*growth, s.maxWeight()) - floor
		}
	}
}

// validUntil returns when the computed shares must be computed anew.
func (s *shareCalculator) validUntil(now time.Time) int64 {
	if s.isSingleInstance() {
		return math.MaxInt64
	}

	return now.Add(s.validity()).UnixNano()
}

// maxWeight is the greatest weight that is ever published.
func (s *shareCalculator) maxWeight() float64 {
	return 1 + s.sharing.EvenFraction
}

// seesMajority tells whether this instance hears from most members. One that does
// not may be the one that is cut off, and goes on to count the silent.
func (s *shareCalculator) seesMajority(now time.Time) bool {
	silent := 0

	for _, m := range s.members {
		if now.Sub(m.lastSeen) > s.sharing.MemberTimeout {
			silent++
		}
	}

	return len(s.members)+1-silent > silent
}

// evictSilent drops members that have been silent for very long. Before that they
// are not weighed, but still count as members: else a minority that loses the
// others one by one would take itself for the rest of a majority.
func (s *shareCalculator) evictSilent(now time.Time) {
	for id, m := range s.members {
		if now.Sub(m.lastSeen) > evictionTimeouts*s.sharing.MemberTimeout {
			delete(s.members, id)
		}
	}
}

// share returns the share share one account, after prepare.
func (s *shareCalculator) share(hash uint64) float64 {
	if s.isSingleInstance() {
		return 1
	}

	if !s.holdsShares {
		return 0
	}

	own := s.ownDigests.minWeight(hash)

	return own / (own + s.floorSum + s.extraSums[hash])
}

// evenShare returns an evenShare share among the members, 0 for an instance that is alone.
func (s *shareCalculator) evenShare() float64 {
	if s.isSingleInstance() {
		return 0
	}

	return 1 / float64(len(s.members)+1)
}

// ready tells whether a digest of this instance is old enough for all to know it.
func (s *shareCalculator) ready(now time.Time) bool {
	if s.isSingleInstance() {
		return true
	}

	return len(s.ownDigests) > 0 && !s.ownDigests[0].at.After(now.Add(-s.window()))
}
