// Package directory names the relays of a large fleet of entry instances.
//
// A directory is one small record in persistent storage of the platform. An instance that
// starts reads it, subscribes to one of its relays, and gets all other state from that relay.
// The amount that an instance reads at the origin therefore does not grow with the number of
// instances. The directory of a small fleet names no relays: its instances form a full mesh and
// find each other without it.
//
// The leaders keep the directory up to date. A Planner is the state machine by which a leader
// decides: the reports of the relays are its input, the next directory is its output.
//
// # Usage
//
//	var planner directory.Planner
//	planner.AddReport(now, report)
//	if next, changed := planner.Next(now, current); changed {
//		data, err := next.Marshal()
//	}
package directory

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// Directory names the relays of a fleet and the number of its instances.
type Directory struct {
	// Relays are the relays of a large fleet, empty for a full mesh.
	Relays []topology.Member
	// Count is the number of instances when the directory was written.
	Count int
	// Forming is set while Count is unknown: the first instance of the fleet lists itself as
	// the relay that the others subscribe to.
	Forming bool
}

// FullMesh reports whether the fleet is small enough that all instances exchange messages
// directly.
func (d *Directory) FullMesh() bool { return !d.Forming && d.Count <= topology.FullMeshMax }

// HasRelay reports whether an instance is one of the relays.
func (d *Directory) HasRelay(id fleet.InstanceID) bool {
	for _, m := range d.Relays {
		if m.ID == id {
			return true
		}
	}

	return false
}

// record is the encoded form of a Directory.
type record struct {
	Relays  []Member `msgpack:"r"`
	Count   int      `msgpack:"c"`
	Forming bool     `msgpack:"f,omitempty"`
}

// Member is the encoded form of a topology.Member in messages and records.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID       fleet.InstanceID
	Domain   fleet.FailureDomain
	Address  string
	Cores    float64
}

// MemberOf returns the encoded form of a member.
func MemberOf(m topology.Member) Member {
	return Member{ID: m.ID, Domain: m.Domain, Address: m.Address.String(), Cores: m.Cores}
}

// Member returns the decoded member. Its Address is the zero value if the encoded address is
// invalid; nothing is sent to such a member.
func (m Member) Member() topology.Member {
	address, _ := netip.ParseAddrPort(m.Address)

	return topology.Member{ID: m.ID, Domain: m.Domain, Address: address, Cores: m.Cores}
}

// MembersOf returns the encoded form of members.
func MembersOf(members []topology.Member) []Member {
	encoded := make([]Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, MemberOf(m))
	}

	return encoded
}

// TopologyMembers returns the decoded members.
func TopologyMembers(encoded []Member) []topology.Member {
	members := make([]topology.Member, 0, len(encoded))
	for _, m := range encoded {
		members = append(members, m.Member())
	}

	return members
}

// Marshal encodes the directory.
func (d *Directory) Marshal() ([]byte, error) {
	return msgpack.Marshal(&record{Relays: MembersOf(d.Relays), Count: d.Count, Forming: d.Forming})
}

// Unmarshal decodes a directory. It returns an error for malformed data and for a negative
// count.
func Unmarshal(data []byte) (*Directory, error) {
	var r record
	if err := codec.Unmarshal(data, &r); err != nil {
		return nil, merry.Prepend(err, "decode directory")
	}

	if r.Count < 0 {
		return nil, merry.Errorf("directory has a negative number of instances: %d", r.Count)
	}

	return &Directory{Relays: TopologyMembers(r.Relays), Count: r.Count, Forming: r.Forming}, nil
}
