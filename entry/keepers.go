package entry

import (
	"sync"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// keepers is what is known of those that keep the limits of client accounts for others. The
// zero value knows none.
type keepers struct {
	mu       sync.Mutex
	granting map[fleet.InstanceID]bool
	most     bool
}

// receive takes in what a heartbeat says of limits. A holder of an account's reserve may be any
// of those that lead, so that most of them have to grant before requests find one.
func (k *keepers) receive(w heartbeat, plan *topology.Plan) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.most {
		return
	}

	if k.granting == nil {
		k.granting = make(map[fleet.InstanceID]bool)
	}

	k.granting[w.Instance] = w.Grants

	granting := 0

	for _, id := range plan.Leaders {
		if k.granting[id] {
			granting++
		}
	}

	if k.most = w.Kept || granting > 0 && granting >= len(plan.Leaders)-1; k.most {
		k.granting = nil
	}
}

// kept reports whether most of those that lead were known to grant once.
func (k *keepers) kept() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.most
}
