package membership

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// extraStateSends is the number of additional transmissions of an update that is
// not a routine payload.
const extraStateSends = 6

// broadcast is an update that the node still has to send to other members.
type broadcast struct {
	id    fleet.InstanceID
	parts parts
	sent  int
	class broadcastClass
}

// broadcastClass is the priority of an update: all updates of a higher class are
// sent before those of a lower one.
type broadcastClass uint8

const (
	// classPayload updates carry a routine payload; anti-entropy rounds deliver
	// those that gossip missed.
	classPayload broadcastClass = iota
	// classJoin updates introduce a member.
	classJoin
	// classState updates announce a phase, a suspicion, a death, a refutation or
	// an urgent payload.
	classState
)

// broadcasts is the queue of updates to send, with at most one for each member.
type broadcasts struct {
	queue []*broadcast
	byID  map[fleet.InstanceID]*broadcast
}

// add queues an update of a member. It merges the update with one still queued
// for the member, and restarts the count of transmissions.
func (b *broadcasts) add(id fleet.InstanceID, p parts, of broadcastClass) {
	if b.byID == nil {
		b.byID = make(map[fleet.InstanceID]*broadcast)
	}

	if old, ok := b.byID[id]; ok {
		old.parts |= p
		old.class = max(old.class, of)
		old.sent = 0

		return
	}

	added := &broadcast{id: id, parts: p, class: of}
	b.byID[id] = added
	b.queue = append(b.queue, added)
}

// sort orders the queue by descending class, then by ascending number of
// transmissions.
func (b *broadcasts) sort() {
	slices.SortStableFunc(b.queue, func(x, y *broadcast) int {
		if x.class != y.class {
			return cmp.Compare(y.class, x.class)
		}

		return cmp.Compare(x.sent, y.sent)
	})
}

// trim removes updates sent limit times. Updates of a higher class than
// classPayload are sent extraStateSends times more, since they must reach every
// member within seconds.
func (b *broadcasts) trim(limit int) {
	b.queue = slices.DeleteFunc(b.queue, func(x *broadcast) bool {
		if x.sent < limit || (x.class > classPayload && x.sent < limit+extraStateSends) {
			return false
		}

		delete(b.byID, x.id)

		return true
	})
}

func (b *broadcasts) empty() bool {
	return len(b.queue) == 0
}
