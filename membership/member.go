package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// Member is an immutable snapshot of the state of one instance. A change creates
// a new Member.
type Member struct {
	identity       Identity
	revision       uint32
	phase          Phase
	status         Status
	payloadVersion uint32
	payload        string
	urgent         bool
}

// ID returns the instance ID.
func (m *Member) ID() fleet.InstanceID {
	return m.identity.ID
}

// Incarnation returns the incarnation of the member's process.
func (m *Member) Incarnation() fleet.Incarnation {
	return m.identity.Incarnation
}

// Region returns the member's region.
func (m *Member) Region() fleet.Region {
	return m.identity.Region
}

// Domain returns the member's failure domain.
func (m *Member) Domain() fleet.FailureDomain {
	return m.identity.Domain
}

// Address returns the member's peer address.
func (m *Member) Address() string {
	return m.identity.Address
}

// Phase returns the phase that the member announced last.
func (m *Member) Phase() Phase {
	return m.phase
}

// Status returns the member's liveness as other members judge it.
func (m *Member) Status() Status {
	return m.status
}

// Payload returns a copy of the member's payload.
func (m *Member) Payload() []byte {
	return []byte(m.payload)
}

// PayloadVersion returns the number of payloads that the member's incarnation
// has published.
func (m *Member) PayloadVersion() uint32 {
	return m.payloadVersion
}

// Live reports whether the member is neither dead nor left. Suspect and leaving
// members are live.
func (m *Member) Live() bool {
	return m.status != Dead && m.phase != Left
}

// Usable reports whether the member accepts new work: it is alive, not suspect
// and not leaving.
func (m *Member) Usable() bool {
	return m.status == Alive && m.phase == Active
}

func (m *Member) version() version {
	return version{incarnation: m.identity.Incarnation, revision: m.revision, status: m.status}
}

// digest hashes the fields of a live member on which all nodes must agree.
func (m *Member) digest() uint32 {
	var b [17]byte

	binary.BigEndian.PutUint64(b[0:8], uint64(m.identity.Incarnation))
	binary.BigEndian.PutUint32(b[8:12], m.revision)
	binary.BigEndian.PutUint32(b[12:16], m.payloadVersion)
	b[16] = byte(m.status)

	h := xxhash.NewWithSeed(xxhash.Sum64String(string(m.identity.ID)))
	_, _ = h.Write(b[:])

	return uint32(h.Sum64())
}
