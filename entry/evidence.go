package entry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
)

const (
	// evidenceRetryInterval is the time between two queries of an instance that has just started, some
	// round trips between failure domains.
	evidenceRetryInterval = 100 * time.Millisecond
	// evidenceRefreshInterval is the time between two later queries: reports of crashes are sent a few
	// times, and an instance that was frozen or cut off for a moment has missed them.
	evidenceRefreshInterval = 5 * time.Second
)

// evidenceQuery asks another instance which requests and parts of prompts crash backend servers.
type evidenceQuery struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
}

// evidenceReply is one of Count datagrams of the reply to a query.
type evidenceReply struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number       uint64
	Index, Count int
	Losses       []quarantine.Loss
	Parts        []quarantine.PartReport
}

// evidenceSync learns which requests and parts of prompts crash backend servers from instances that read
// the board. The zero value knows nothing.
type evidenceSync struct {
	known atomic.Bool

	mu sync.Mutex
	// number is that of the latest query, and received the datagrams of its reply.
	number   uint64
	received map[int]bool
}

// next returns the number of the next query.
func (s *evidenceSync) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.number++
	s.received = make(map[int]bool)

	return s.number
}

// receive records a datagram of a reply, and reports whether the reply is the first one to be complete.
func (s *evidenceSync) receive(r *evidenceReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if r.Number != s.number || r.Index < 0 || r.Index >= r.Count {
		return false
	}

	s.received[r.Index] = true

	return len(s.received) == r.Count && s.known.CompareAndSwap(false, true)
}

// learnEvidence asks other instances until ctx ends: often until the first reply, then now and then.
// An instance that uses the board reads what it needs there, and asks only until it has.
func (p *components) learnEvidence(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.usesBoard() || !p.evidence.known.Load() {
			query := datagram{EvidenceQuery: &evidenceQuery{From: p.self(), Number: p.evidence.next()}}
			p.sendAll(p.evidenceSources(), query)
		}

		interval := evidenceRetryInterval
		if p.evidence.known.Load() {
			interval = evidenceRefreshInterval
		}

		clock.Sleep(ctx, p.clock, interval)
	}
}

// evidenceSources returns the instances to ask: a relay asks the leaders, any other instance its relay.
func (p *components) evidenceSources() map[fleet.InstanceID]netip.AddrPort {
	plan := p.plan.Load()
	if plan.Relay {
		return p.leaderAddresses(plan)
	}

	return addressesOf(plan.Relays[:min(len(plan.Relays), 1)])
}

// receiveEvidenceMessage replies to the query of another instance, if this one knows, and merges the
// reply to one of its own.
func (p *components) receiveEvidenceMessage(now time.Time, from netip.AddrPort, d *datagram) {
	if q := d.EvidenceQuery; q != nil && p.evidence.known.Load() {
		for _, reply := range p.evidenceReplies(now, q.Number) {
			p.sendAll(map[fleet.InstanceID]netip.AddrPort{q.From: from}, datagram{EvidenceReply: &reply})
		}
	}

	if r := d.EvidenceReply; r != nil {
		p.quarantine.Merge(now, r.Losses, false)
		p.parts.Merge(now, r.Parts, false)

		if p.evidence.receive(r) {
			klog.InfoS("reports on requests and parts that crash servers were received", "suspected", p.parts.SuspectCount(),
				"heldParts", p.parts.HeldCount(), "heldRequests", p.quarantine.QuarantinedCount(now))
		}
	}
}

// evidenceReplies returns the datagrams of a reply, at least one.
func (p *components) evidenceReplies(now time.Time, number uint64) []evidenceReply {
	var replies []evidenceReply

	for _, batch := range packLosses(p.quarantine.StoredLosses(now)) {
		replies = append(replies, evidenceReply{Number: number, Losses: batch})
	}

	for _, batch := range packParts(p.parts.StoredReports(now)) {
		replies = append(replies, evidenceReply{Number: number, Parts: batch})
	}

	if len(replies) == 0 {
		replies = append(replies, evidenceReply{Number: number})
	}

	for i := range replies {
		replies[i].Index, replies[i].Count = i, len(replies)
	}

	return replies
}
