package entry

import (
	"sync"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// coordinatorStatus is what is known of those that keep the limits of client accounts for others. The
// zero value knows none.
type coordinatorStatus struct {
	mu       sync.Mutex
	granting map[fleet.InstanceID]bool
	ready    bool
}

// receive takes in what a heartbeat says of limits. A holder of an account's reserve may be any
// of those that lead, so that most of them have to grant before requests find one.
func (s *coordinatorStatus) receive(h heartbeat, plan *topology.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ready {
		return
	}

	if s.granting == nil {
		s.granting = make(map[fleet.InstanceID]bool)
	}

	s.granting[h.Instance] = h.CanGrant

	granting := 0

	for _, id := range plan.Leaders {
		if s.granting[id] {
			granting++
		}
	}

	if s.ready = h.CoordinatorsReady || granting > 0 && granting >= len(plan.Leaders)-1; s.ready {
		s.granting = nil
	}
}

// isReady reports whether most of those that lead were known to grant once.
func (s *coordinatorStatus) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ready
}
