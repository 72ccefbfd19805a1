package membership

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// extraStateSends is how often more than a payload an update is sent on.
const extraStateSends = 6

// broadcast is an update that is still being sent on.
type broadcast struct {
	id    fleet.InstanceID
	parts parts
	sent  int
	class broadcastClass
}

// broadcastClass orders updates: of a higher broadcastClass all go first.
type broadcastClass uint8

const (
	// classPayload updates carry a payload; an anti-entropy round may bring
	// what was missed.
	classPayload broadcastClass = iota
	// classJoin updates introduce a member.
	classJoin
	// classState updates tell of leaving, suspicion, death and refutation, or
	// of an urgent payload.
	classState
)

// broadcasts holds at most one update for each member; a newer one replaces it.
type broadcasts struct {
	queue []*broadcast
	byID  map[fleet.InstanceID]*broadcast
}

// add queues news of a member, merged with what is still queued of it.
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

// sort puts higher classes and seldom sent updates first.
func (b *broadcasts) sort() {
	slices.SortStableFunc(b.queue, func(x, y *broadcast) int {
		if x.class != y.class {
			return cmp.Compare(y.class, x.class)
		}

		return cmp.Compare(x.sent, y.sent)
	})
}

// trim removes the updates that were sent limit times, and a few times more where
// they are not of a payload: every member must have those within seconds.
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
