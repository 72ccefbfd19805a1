package membership

import "monsoonlever/fleet"

// version orders the states of one member.
type version struct {
	incarnation fleet.Incarnation
	revision    uint32
	status      Status
}

// newer reports whether v replaces o.
func (v version) newer(o version) bool {
	if v.incarnation != o.incarnation {
		return v.incarnation > o.incarnation
	}

	if v.revision != o.revision {
		return v.revision > o.revision
	}

	return v.status > o.status
}
