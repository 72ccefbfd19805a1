package membership

import "monsoonlever/fleet"

// Sizes in bytes, above what msgpack needs, with which a message is packed.
const (
	updateOverhead  = 32
	placeOverhead   = 8
	payloadOverhead = 10
)

// Place is the part of an Update that never changes in an incarnation.
type Place struct {
	Region  fleet.Region
	Domain  fleet.FailureDomain
	Address string
}

// Payload is the part of an Update with a member's own data.
type Payload struct {
	Version uint32
	Data    string
}

// Update is news of one member on the wire. Place and Payload are left out
// where the receiver most likely has them.
type Update struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Revision    uint32
	Phase       Phase
	Status      Status
	Place       *Place
	Payload     *Payload
}

// parts says what an Update carries beside the state.
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
		u.Payload = &Payload{Version: m.payloadVersion, Data: m.payload}
	}

	return u
}

func (u *Update) version() version {
	return version{incarnation: u.Incarnation, revision: u.Revision, status: u.Status}
}

// size is an upper bound of the encoded size.
func (u *Update) size() int {
	size := updateOverhead + len(u.ID)

	if u.Place != nil {
		size += placeOverhead + len(u.Place.Region) + len(u.Place.Domain) + len(u.Place.Address)
	}

	if u.Payload != nil {
		size += payloadOverhead + len(u.Payload.Data)
	}

	return size
}

func (u *Update) valid() bool {
	return u.ID != "" && len(u.ID) <= MaxName && u.Phase <= Left && u.Status <= Dead &&
		(u.Place == nil || u.Place.valid()) && (u.Payload == nil || len(u.Payload.Data) <= MaxPayload)
}

func (p *Place) valid() bool {
	return p.Address != "" && len(p.Region) <= MaxName && len(p.Domain) <= MaxName && len(p.Address) <= MaxName
}
