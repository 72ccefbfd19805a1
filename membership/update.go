package membership

import (
	"math"

	"monsoonlever/fleet"
)

// Place is the part of an Update that is constant during an incarnation.
type Place struct {
	Region  fleet.Region
	Domain  fleet.FailureDomain
	Address string
}

// Payload is the part of an Update with the member's own data.
type Payload struct {
	Version uint32
	Data    string
	Urgent  bool
}

// Update is the encoded state of one member. Place and Payload are omitted when
// the receiver most likely has them.
type Update struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Revision    uint32
	Phase       Phase
	Status      Status
	Place       *Place
	Payload     *Payload
}

// parts is the set of optional parts in an Update.
type parts uint8

const (
	partPlace parts = 1 << iota
	partPayload
	partsAll = partPlace | partPayload
)

func newUpdate(m *Member, p parts) Update {
	u := Update{
		ID:          m.identity.ID,
		Incarnation: m.identity.Incarnation,
		Revision:    m.revision,
		Phase:       m.phase,
		Status:      m.status,
	}

	if p&partPlace != 0 {
		u.Place = &Place{Region: m.identity.Region, Domain: m.identity.Domain, Address: m.identity.Address}
	}

	if p&partPayload != 0 && m.payloadVersion > 0 {
		u.Payload = &Payload{Version: m.payloadVersion, Data: m.payload, Urgent: m.urgent}
	}

	return u
}

func (u *Update) version() version {
	return version{incarnation: u.Incarnation, revision: u.Revision, status: u.Status}
}

// size returns an upper bound of the encoded size in bytes: the fields, and one
// byte each for the array header, phase, status and the two optional parts.
func (u *Update) size() int {
	size := 5 + textSize(len(u.ID)) + intSize(uint64(u.Incarnation)) + intSize(uint64(u.Revision))

	if u.Place != nil {
		size += 1 + textSize(len(u.Place.Region)) + textSize(len(u.Place.Domain)) + textSize(len(u.Place.Address))
	}

	if u.Payload != nil {
		size += 2 + intSize(uint64(u.Payload.Version)) + textSize(len(u.Payload.Data))
	}

	return size
}

// intSize returns the encoded size of an integer in bytes.
func intSize(v uint64) int {
	switch {
	case v < 1<<7:
		return 1
	case v <= math.MaxUint8:
		return 2
	case v <= math.MaxUint16:
		return 3
	case v <= math.MaxUint32:
		return 5
	default:
		return 9
	}
}

// textSize returns the encoded size of a string in bytes.
func textSize(length int) int {
	switch {
	case length < 1<<5:
		return 1 + length
	case length <= math.MaxUint8:
		return 2 + length
	default:
		return 3 + length
	}
}

func (u *Update) valid() bool {
	return u.ID != "" && len(u.ID) <= MaxName && u.Phase <= Left && u.Status <= Dead &&
		(u.Place == nil || u.Place.valid()) && (u.Payload == nil || len(u.Payload.Data) <= MaxPayload)
}

func (p *Place) valid() bool {
	return p.Address != "" && len(p.Region) <= MaxName && len(p.Domain) <= MaxName && len(p.Address) <= MaxName
}
