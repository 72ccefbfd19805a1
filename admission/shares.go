package admission

import (
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// shareCalculator computes this instance's share of each limit from the weights that the entry
// instances publish to each other.
//
// The shares of all instances add up to at most the limit. For itself, an instance uses the lowest
// weight that it published within the window, so that every member has received a weight at least
// that high. For each other member, it uses the newest weight received, multiplied by the factor by
// which that member may have raised it since. So the divisor on every instance is at least the sum
// of the weights that all instances use for themselves.
type shareCalculator struct {
	sharing    Sharing
	startedAt  time.Time
	members    map[fleet.InstanceID]*member
	ownDigests digestHistory

	// The fields below are computed by recompute.
	computedAt  time.Time
	holdsShares bool
	floorSum    float64
	extraSums   map[uint64]float64
}

const (
	// validityDivisor divides PropagationDelay to give the validity of computed shares.
	validityDivisor = 4
	// evictionTimeouts is the number of member timeouts after which a silent member is removed.
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

	// Members may have been added before the first Configure.
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

// publish returns the next digest and adds it to the history. The weight of an account is the floor
// plus its demand, limited to maxWeightGrowth times the lowest weight that was published within the
// window.
func (s *shareCalculator) publish(now time.Time, accounts []*account) Demand {
	s.ownDigests = s.ownDigests.trim(now.Add(-s.window()))
	floor := s.nextFloor()
	p := publishedDigest{at: now, floor: floor, weights: make(map[uint64]float64)}
	demands := make([]AccountDemand, 0, len(accounts))

	for _, a := range accounts {
		weight := floor + a.measureDemand(now)

		if len(s.ownDigests) > 0 {
			weight = min(weight, maxWeightGrowth*s.ownDigests.minWeight(a.hash))
		} else {
			weight = floor
		}

		if weight > floor {
			demands = append(demands, AccountDemand{Account: a.hash, Weight: float32(weight)})
		}
	}

	demands = topDemands(demands, s.sharing.DigestAccounts)

	for i, w := range demands {
		p.weights[w.Account] = float64(demands[i].Weight)
	}

	p.floor = float64(float32(floor))
	s.ownDigests = append(s.ownDigests, p)

	return Demand{At: now.UnixMilli(), Floor: float32(floor), Accounts: demands}
}

// nextFloor returns the weight of accounts without demand for the next digest.
func (s *shareCalculator) nextFloor() float64 {
	if len(s.ownDigests) == 0 {
		return initialWeight
	}

	even := s.sharing.EvenFraction / float64(len(s.members)+1)

	return min(even, maxWeightGrowth*s.ownDigests.minFloor())
}

// topDemands returns the accounts with the highest weights, as many as the digest has room for.
func topDemands(demands []AccountDemand, room int) []AccountDemand {
	if len(demands) <= room {
		return demands
	}

	slices.SortFunc(demands, func(a, b AccountDemand) int {
		switch {
		case a.Weight > b.Weight:
			return -1
		case a.Weight < b.Weight:
			return 1
		default:
			return 0
		}
	})

	return demands[:room]
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

	// The sums are used until the next recompute, so they include the growth until then.
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

// validUntil returns when shares that are computed now expire, in Unix nanoseconds.
func (s *shareCalculator) validUntil(now time.Time) int64 {
	if s.isSingleInstance() {
		return math.MaxInt64
	}

	return now.Add(s.validity()).UnixNano()
}

// maxWeight returns the largest weight that an instance may publish.
func (s *shareCalculator) maxWeight() float64 {
	return 1 + s.sharing.EvenFraction
}

// seesMajority reports whether this instance has received digests from most members within the member
// timeout. Otherwise it may be the partitioned one itself, and keeps counting the weights of silent
// members.
func (s *shareCalculator) seesMajority(now time.Time) bool {
	silent := 0

	for _, m := range s.members {
		if now.Sub(m.lastSeen) > s.sharing.MemberTimeout {
			silent++
		}
	}

	return len(s.members)+1-silent > silent
}

// evictSilent removes members that have been silent for evictionTimeouts member timeouts. Until then
// their weights are not counted, but they still count towards the majority: otherwise a minority
// that loses the other members one by one would consider itself a majority of the remaining ones.
func (s *shareCalculator) evictSilent(now time.Time) {
	for id, m := range s.members {
		if now.Sub(m.lastSeen) > evictionTimeouts*s.sharing.MemberTimeout {
			delete(s.members, id)
		}
	}
}

// share returns this instance's share of the limits of one account, as of the last recompute.
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

// evenShare returns an equal share for each member, or 0 for a single instance.
func (s *shareCalculator) evenShare() float64 {
	if s.isSingleInstance() {
		return 0
	}

	return 1 / float64(len(s.members)+1)
}

// ready reports whether the oldest digest in the history is old enough to have reached all members.
func (s *shareCalculator) ready(now time.Time) bool {
	if s.isSingleInstance() {
		return true
	}

	return len(s.ownDigests) > 0 && !s.ownDigests[0].at.After(now.Add(-s.window()))
}
