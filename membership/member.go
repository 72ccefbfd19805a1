package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// Member is what is known of one instance at one time. It never changes; a
// change makes another Member.
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

// Incarnation returns the process's incarnation.
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

// Address returns where the member is reached.
func (m *Member) Address() string {
	return m.identity.Address
}

// Phase returns what the member said of itself last.
func (m *Member) Phase() Phase {
	return m.phase
}

// Status returns what others think of the member.
func (m *Member) Status() Status {
	return m.status
}

// Payload returns a copy of the member's payload.
func (m *Member) Payload() []byte {
	return []byte(m.payload)
}

// PayloadVersion counts the payloads of the member's incarnation.
func (m *Member) PayloadVersion() uint32 {
	return m.payloadVersion
}

// Live reports whether the member runs as far as is known, leaving or not.
func (m *Member) Live() bool {
	return m.status != Dead && m.phase != Left
}

// Usable reports whether the member takes new work: it is live, unsuspected
// and not leaving.
func (m *Member) Usable() bool {
	return m.status == Alive && m.phase == Active
}

func (m *Member) version() version {
	return version{incarnation: m.identity.Incarnation, revision: m.revision, status: m.status}
}

// digest hashes all that copies of a live member must agree on.
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
