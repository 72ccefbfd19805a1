package lease

import "monsoonlever/provider"

// Ledger folds the records of one role into the grant that is in force. Every
// process that reads the same records comes to the same grant.
type Ledger struct {
	state Snapshot
}

// NewLedger returns a ledger of a role that nobody has held.
func NewLedger(role Role) *Ledger {
	return &Ledger{state: Snapshot{Role: role}}
}

// Apply judges one record and tells whether it is valid.
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

// Restore replaces the state by a checkpoint of the same role if that is newer.
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
