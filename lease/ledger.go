package lease

import "monsoonlever/provider"

// Ledger computes the current grant of one role from the records in the log. Every process
// that reads the same records computes the same grant.
type Ledger struct {
	state Snapshot
}

// NewLedger returns a ledger of a role that has had no holder.
func NewLedger(role Role) *Ledger {
	return &Ledger{state: Snapshot{Role: role}}
}

// Apply applies one record if it is valid, and reports whether it is.
func (l *Ledger) Apply(offset provider.Offset, r Record) bool {
	if r.Role != l.state.Role || r.Previous != l.state.Last || offset <= l.state.Last {
		return false
	}

	switch r.Kind {
	case Acquire:
		l.state.Holder = r.Holder
		l.state.Fence = Fence(offset)
		l.state.Released = false
	case Renew:
		if !l.heldBy(r.Holder) {
			return false
		}
	case Release:
		if !l.heldBy(r.Holder) {
			return false
		}

		l.state.Released = true
	default:
		return false
	}

	l.state.Last = offset
	l.state.Term = r.Term

	return true
}

// Snapshot returns the state for a checkpoint.
func (l *Ledger) Snapshot() Snapshot {
	return l.state
}

// Restore replaces the state by a checkpoint of the same role if the checkpoint is newer, and
// reports whether it did.
func (l *Ledger) Restore(s Snapshot) bool {
	if s.Role != l.state.Role || s.Last <= l.state.Last {
		return false
	}

	l.state = s

	return true
}

func (l *Ledger) heldBy(h Holder) bool {
	return l.state.Last != 0 && !l.state.Released && l.state.Holder == h
}
