package admission

import (
	"time"

	"monsoonlever/fleet"
)

// shares computes this instance's share of each limit from the demand that
// the entry instances tell each other.
type shares struct {
	sharing Sharing
	members map[fleet.InstanceID]*member
	own     Demand
	sums    map[uint64]float64
	floors  float64
	at      time.Time
}

type member struct {
	heard  time.Time
	digest Demand
}

func (s *shares) start(now time.Time, sharing Sharing) {
	s.sharing = sharing
	s.members = make(map[fleet.InstanceID]*member)
	s.at = now
}

func (s *shares) join(now time.Time, id fleet.InstanceID) {
	if s.members[id] == nil {
		s.members[id] = &member{heard: now}
	}
}

func (s *shares) leave(id fleet.InstanceID) { delete(s.members, id) }

func (s *shares) apply(now time.Time, id fleet.InstanceID, d Demand) {
	s.join(now, id)
	s.members[id].heard = now
	s.members[id].digest = d
}

func (s *shares) publish(now time.Time, accounts []*account) Demand {
	d := Demand{At: now.UnixMilli(), Floor: float32(s.sharing.Floor)}

	for _, a := range accounts {
		if used := a.measure(now); used > 0 && len(d.Accounts) < MaxDemandAccounts {
			d.Accounts = append(d.Accounts, AccountDemand{Account: a.hash, Weight: float32(used)})
		}
	}

	s.own = d

	return d
}

// prepare forgets members that are silent and sums the weights of the others.
func (s *shares) prepare(now time.Time) {
	s.sums = make(map[uint64]float64)
	s.floors = 0

	for id, m := range s.members {
		if now.Sub(m.heard) > s.sharing.Lapse {
			delete(s.members, id)

			continue
		}

		s.floors += float64(m.digest.Floor)

		for _, a := range m.digest.Accounts {
			s.sums[a.Account] += float64(a.Weight)
		}
	}
}

func (s *shares) of(hash uint64) float64 {
	own := s.sharing.Floor

	for _, a := range s.own.Accounts {
		if a.Account == hash {
			own += float64(a.Weight)
		}
	}

	return own / (own + s.floors + s.sums[hash])
}

func (s *shares) ready(time.Time) bool { return true }
