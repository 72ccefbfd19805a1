package membership

import (
	"slices"
	"strings"

	"monsoonlever/fleet"
)

// View is an immutable snapshot of the member list.
type View struct {
	self        fleet.InstanceID
	members     []*Member
	unreachable []fleet.Region
	changed     chan struct{}
}

// View returns a snapshot of the core's current member list.
func (c *Core) View() *View {
	v := &View{self: c.Self.ID, unreachable: c.unreachable(), changed: make(chan struct{})}

	v.members = make([]*Member, 0, len(c.table.order))
	for _, e := range c.table.order {
		v.members = append(v.members, e.member)
	}

	return v
}

// Self returns the ID of the node whose view it is.
func (v *View) Self() fleet.InstanceID {
	return v.self
}

// Changed returns a channel that is closed once a newer view has been
// published.
func (v *View) Changed() <-chan struct{} {
	return v.changed
}

// Members returns every known member in the order of IDs, including dead and
// left members whose retention has not expired.
func (v *View) Members() []*Member {
	return slices.Clone(v.members)
}

// Live returns the members that are neither dead nor left, in the order of IDs.
// Leaving and suspect members are included.
func (v *View) Live() []*Member {
	return v.filter((*Member).Live)
}

// Usable returns the members of reachable regions that accept new work, in the
// order of IDs.
func (v *View) Usable() []*Member {
	return v.filter(func(m *Member) bool { return m.Usable() && v.Reachable(m.Region()) })
}

func (v *View) filter(keep func(*Member) bool) []*Member {
	var kept []*Member

	for _, m := range v.members {
		if keep(m) {
			kept = append(kept, m)
		}
	}

	return kept
}

// Member returns the member with the ID, or nil.
func (v *View) Member(id fleet.InstanceID) *Member {
	at, found := slices.BinarySearchFunc(v.members, id, func(m *Member, id fleet.InstanceID) int {
		return strings.Compare(string(m.identity.ID), string(id))
	})
	if !found {
		return nil
	}

	return v.members[at]
}

// Reachable reports whether round trips to the region currently succeed.
func (v *View) Reachable(region fleet.Region) bool {
	return !slices.Contains(v.unreachable, region)
}
