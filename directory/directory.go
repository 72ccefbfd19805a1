// Package directory names the relays among many entry instances.
//
// A directory is one small record that lasts on the platform. An instance that starts reads
// it, turns to a relay, and gets everything else from there, so that what it reads at the
// origin does not grow with the number of instances. Of few instances it says only that they
// are few: these find each other by themselves.
//
// The instances that lead keep the directory up to date. A Keeper is the step by which one
// of them decides: what relays report goes in, the next directory comes out.
//
// # Usage
//
//	var keeper directory.Keeper
//	keeper.Report(now, report)
//	if next, changed := keeper.Next(now, current); changed {
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

// Directory names the relays among a number of instances.
type Directory struct {
	// Relays are the relays, where there are many instances.
	Relays []topology.Member
	// Count is how many instances there were when it was written.
	Count int
	// Forming is set while Count is not known: an instance that started first asks the
	// others to turn to it.
	Forming bool
}

// FullMesh reports whether the instances are so few that they find each other by themselves.
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

// record is a Directory as it is written.
type record struct {
	Relays  []Member `msgpack:"r"`
	Count   int      `msgpack:"c"`
	Forming bool     `msgpack:"f,omitempty"`
}

// Member is a topology.Member in messages and records.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID       fleet.InstanceID
	Domain   fleet.FailureDomain
	Address  string
	Cores    float64
}

// MemberOf returns a member as it is written.
func MemberOf(m topology.Member) Member {
	return Member{ID: m.ID, Domain: m.Domain, Address: m.Address.String(), Cores: m.Cores}
}

// Member returns the member that was written. One without a usable address is not sent
// anything.
func (m Member) Member() topology.Member {
	address, _ := netip.ParseAddrPort(m.Address)

	return topology.Member{ID: m.ID, Domain: m.Domain, Address: address, Cores: m.Cores}
}

// MembersOf returns members as they are written.
func MembersOf(members []topology.Member) []Member {
	written := make([]Member, 0, len(members))
	for _, m := range members {
		written = append(written, MemberOf(m))
	}

	return written
}

// TopologyMembers returns the members that were written.
func TopologyMembers(written []Member) []topology.Member {
	members := make([]topology.Member, 0, len(written))
	for _, m := range written {
		members = append(members, m.Member())
	}

	return members
}

// Marshal encodes the directory.
func (d *Directory) Marshal() ([]byte, error) {
	return msgpack.Marshal(&record{Relays: MembersOf(d.Relays), Count: d.Count, Forming: d.Forming})
}

// Unmarshal decodes a directory.
func Unmarshal(data []byte) (*Directory, error) {
	var r record
	if err := codec.Unmarshal(data, &r); err != nil {
		return nil, merry.Prepend(err, "decode directory")
	}

	if r.Count < 0 {
		return nil, merry.Errorf("directory of %d instances", r.Count)
	}

	return &Directory{Relays: TopologyMembers(r.Relays), Count: r.Count, Forming: r.Forming}, nil
}
