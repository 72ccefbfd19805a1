package membership

import "monsoonlever/fleet"

// messageOverhead is an upper bound, in bytes, of the encoded size of a message
// without its target, updates, digests and buckets.
const messageOverhead = 24

// Message is one of Probe, Ack, IndirectProbe, Gossip, SyncRequest and
// SyncResponse.
type Message interface {
	// Size returns an upper bound of the encoded size in bytes.
	Size() int
	updates() []Update
}

// Probe requests an Ack with the same number from the target.
type Probe struct {
	Number  uint32
	Target  fleet.InstanceID
	Updates []Update
}

// Ack is the response to a Probe, or to an IndirectProbe whose target has sent
// an Ack.
type Ack struct {
	Number  uint32
	Updates []Update
}

// IndirectProbe requests that the receiver probes the target for the sender.
type IndirectProbe struct {
	Number  uint32
	Target  fleet.InstanceID
	Updates []Update
}

// Gossip carries updates and expects no response.
type Gossip struct {
	Updates []Update
}

// SyncRequest starts an anti-entropy round with the digest of each bucket of the
// sender's table. Its single update describes the sender.
type SyncRequest struct {
	Digests []byte
	Updates []Update
}

// SyncResponse carries the responder's members of the buckets whose digests
// differ. More means that further buckets may differ.
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
