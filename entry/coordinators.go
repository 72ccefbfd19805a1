package entry

import (
	"sync"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// coordinatorStatus records which leaders can grant limits of client accounts to other instances.
// The zero value is empty.
type coordinatorStatus struct {
	mu       sync.Mutex
	granting map[fleet.InstanceID]bool
	ready    bool
}

// receive records what a heartbeat reports on limits. Any leader may hold the reserve of an
// account, so most of them must be able to grant before requests find the one that does.
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

// isReady reports whether most leaders have been able to grant at some time.
func (s *coordinatorStatus) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ready
}
