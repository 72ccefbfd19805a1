package membership

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// urgentSends is how often more than a payload an urgent update is sent on.
const urgentSends = 6

// broadcast is an update that is still being sent on.
type broadcast struct {
	id    fleet.InstanceID
	parts parts
	sent  int
	// urgent updates go before those that only carry a payload.
	urgent bool
}

// broadcasts holds at most one update for each member; a newer one replaces it.
type broadcasts struct {
	queue []*broadcast
	byID  map[fleet.InstanceID]*broadcast
}

// add queues news of a member, merged with what is still queued of it.
func (b *broadcasts) add(id fleet.InstanceID, p parts, urgent bool) {
	if b.byID == nil {
		b.byID = make(map[fleet.InstanceID]*broadcast)
	}

	if old, ok := b.byID[id]; ok {
		old.parts |= p
		old.urgent = old.urgent || urgent
		old.sent = 0

		return
	}

	added := &broadcast{id: id, parts: p, urgent: urgent}
	b.byID[id] = added
	b.queue = append(b.queue, added)
}

// sort puts urgent and seldom sent updates first.
func (b *broadcasts) sort() {
	slices.SortStableFunc(b.queue, func(x, y *broadcast) int {
		if x.urgent != y.urgent {
			if x.urgent {
				return -1
			}

			return 1
		}

		return cmp.Compare(x.sent, y.sent)
	})
}

// trim removes the updates that were sent limit times, urgent ones a few times
// more: every member must have them within seconds, while a payload that was
// missed may wait for an anti-entropy round.
func (b *broadcasts) trim(limit int) {
	b.queue = slices.DeleteFunc(b.queue, func(x *broadcast) bool {
		if x.sent < limit || (x.urgent && x.sent < limit+urgentSends) {
			return false
		}

		delete(b.byID, x.id)

		return true
	})
}

func (b *broadcasts) empty() bool {
	return len(b.queue) == 0
}
