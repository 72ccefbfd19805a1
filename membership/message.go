package membership

import "monsoonlever/fleet"

// messageOverhead is above what msgpack needs for a message without updates
// and digests.
const messageOverhead = 24

// Message is one of Probe, Ack, IndirectProbe, Gossip, SyncRequest and
// SyncResponse.
type Message interface {
	// Size returns an upper bound of the encoded size in bytes.
	Size() int
	updates() []Update
}

// Probe asks the target to answer with an Ack of the same number.
type Probe struct {
	Number  uint32
	Target  fleet.InstanceID
	Updates []Update
}

// Ack answers a Probe, or an IndirectProbe whose target answered.
type Ack struct {
	Number  uint32
	Updates []Update
}

// IndirectProbe asks the receiver to probe the target for the sender.
type IndirectProbe struct {
	Number  uint32
	Target  fleet.InstanceID
	Updates []Update
}

// Gossip carries updates only.
type Gossip struct {
	Updates []Update
}

// SyncRequest opens an anti-entropy round with a digest of each bucket of the
// sender's table; its update is the sender itself.
type SyncRequest struct {
	Digests []byte
	Updates []Update
}

// SyncResponse carries the receiver's members of buckets that differ.
type SyncResponse struct {
	Buckets []byte
	More    bool
	Updates []Update
}

// Size returns an upper bound of the encoded size in bytes.
func (m *Probe) Size() int {
	return messageOverhead + len(m.Target) + updatesSize(m.Updates)
}

// Size returns an upper bound of the encoded size in bytes.
func (m *Ack) Size() int {
	return messageOverhead + updatesSize(m.Updates)
}

// Size returns an upper bound of the encoded size in bytes.
func (m *IndirectProbe) Size() int {
	return messageOverhead + len(m.Target) + updatesSize(m.Updates)
}

// Size returns an upper bound of the encoded size in bytes.
func (m *Gossip) Size() int {
	return messageOverhead + updatesSize(m.Updates)
}

// Size returns an upper bound of the encoded size in bytes.
func (m *SyncRequest) Size() int {
	return messageOverhead + len(m.Digests) + updatesSize(m.Updates)
}

// Size returns an upper bound of the encoded size in bytes.
func (m *SyncResponse) Size() int {
	return messageOverhead + len(m.Buckets) + updatesSize(m.Updates)
}

func (m *Probe) updates() []Update         { return m.Updates }
func (m *Ack) updates() []Update           { return m.Updates }
func (m *IndirectProbe) updates() []Update { return m.Updates }
func (m *Gossip) updates() []Update        { return m.Updates }
func (m *SyncRequest) updates() []Update   { return m.Updates }
func (m *SyncResponse) updates() []Update  { return m.Updates }

func updatesSize(updates []Update) int {
	size := 0
	for i := range updates {
		size += updates[i].size()
	}

	return size
}
