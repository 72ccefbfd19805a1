package entry

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/resumption"
)

// datagram is one message between instances. One of its fields is set, or Heartbeat and
// Consumption.
type datagram struct {
	Heartbeat   *heartbeat          `msgpack:"w,omitempty"`
	Consumption *consumptionMessage `msgpack:"d,omitempty"`
	Counts      *usageCounts        `msgpack:"u,omitempty"`
	// Forwarded are counts of several instances, as their relay forwards them.
	Forwarded []usageCounts `msgpack:"y,omitempty"`
	// LoanRequest and LoanResponse lend limits of client accounts.
	LoanRequest  *quota.LoanRequest  `msgpack:"a,omitempty"`
	LoanResponse *quota.LoanResponse `msgpack:"r,omitempty"`
	// LoanPriority and LoanContinues belong to a LoanRequest, and LoanPacedFor to a LoanResponse.
	LoanPriority  int           `msgpack:"j,omitempty"`
	LoanContinues bool          `msgpack:"lc,omitempty"`
	LoanPacedFor  time.Duration `msgpack:"f,omitempty"`
	// PermitRequest and PermitResponse grant requests to backend servers that limit them.
	PermitRequest  *ratelimit.PermitRequest  `msgpack:"l,omitempty"`
	PermitResponse *ratelimit.PermitResponse `msgpack:"m,omitempty"`
	// PermitSlots belongs to a PermitRequest, and BrittleGrant to a PermitResponse.
	PermitSlots  int                     `msgpack:"i,omitempty"`
	BrittleGrant *ratelimit.BrittleGrant `msgpack:"e,omitempty"`
	// PermitReport tells what happened to a request at a brittle backend server.
	PermitReport *ratelimit.PermitReport `msgpack:"b,omitempty"`
	// Servers are changes of backend servers.
	Servers []serverChange `msgpack:"s,omitempty"`
	// Prompts is what the sender knows of the prompts at model engines.
	Prompts *promptMessage `msgpack:"p,omitempty"`
	// Trials are the sender's counts for versions on trial.
	Trials *trialCounts `msgpack:"v,omitempty"`
	// Losses are crashes of backend servers during requests.
	Losses []quarantine.Loss `msgpack:"q,omitempty"`
	// Parts are reports on parts of prompts that may crash backend servers.
	Parts []quarantine.PartReport `msgpack:"k,omitempty"`
	// Streams are records of where streams began, and RecordStreams those that the receiver writes to
	// the store for all instances. StreamQuery and StreamReply ask for one.
	Streams       []resumption.Record `msgpack:"z,omitempty"`
	RecordStreams []resumption.Record `msgpack:"t,omitempty"`
	StreamQuery   *resumption.Query   `msgpack:"g,omitempty"`
	StreamReply   *resumption.Reply   `msgpack:"h,omitempty"`
	// EvidenceQuery asks which requests and parts of prompts crash backend servers.
	EvidenceQuery *evidenceQuery `msgpack:"n,omitempty"`
	EvidenceReply *evidenceReply `msgpack:"x,omitempty"`
	// Report is a relay's report to the leaders, and Redirect names relays to an instance.
	Report   *reportMessage `msgpack:"o,omitempty"`
	Redirect *redirect      `msgpack:"c,omitempty"`
}

// receiveDatagram handles a message of another instance.
func (p *components) receiveDatagram(now time.Time, from netip.AddrPort, data []byte) {
	var d datagram
	if err := codec.Unmarshal(data, &d); err != nil {
		klog.ErrorS(err, "gossip message could not be decoded", "bytes", len(data))

		return
	}

	if d.Heartbeat != nil {
		p.receiveHeartbeat(now, from, *d.Heartbeat)
	}

	if d.Consumption != nil {
		p.receiveConsumption(now, *d.Consumption)
	}

	switch {
	case d.Counts != nil:
		p.receiveCounts(now, d.Counts)
	case d.Trials != nil:
		p.rollouts.table.Record(d.Trials.Instance, d.Trials.Incarnation, d.Trials.Counts)
	case d.LoanRequest != nil:
		// A requester that has just started, or stops, has no known address here.
		d.LoanRequest.Priority, d.LoanRequest.Continues = d.LoanPriority, d.LoanContinues
		response := p.loans.HandleRequest(*d.LoanRequest)
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{d.LoanRequest.From: from}, datagram{LoanResponse: &response, LoanPacedFor: response.PacedFor})
	case d.PermitRequest != nil, d.PermitResponse != nil, d.PermitReport != nil:
		p.receivePermitMessage(from, &d)
	case len(d.Servers) > 0:
		p.receiveServerChanges(now, d.Servers)
	case d.Prompts != nil:
		p.receivePrompts(now, d.Prompts)
	case len(d.Losses) > 0:
		p.receiveLosses(now, d.Losses)
	case len(d.Parts) > 0:
		p.receiveParts(now, d.Parts)
	case d.LoanResponse != nil:
		d.LoanResponse.PacedFor = d.LoanPacedFor
		p.loans.HandleResponse(*d.LoanResponse)
	case len(d.Streams) > 0, len(d.RecordStreams) > 0, d.StreamQuery != nil, d.StreamReply != nil:
		p.receiveStreamMessage(from, &d)
	case d.EvidenceQuery != nil, d.EvidenceReply != nil:
		p.receiveEvidenceMessage(now, from, &d)
	default:
		p.receiveRelayMessage(now, &d)
	}
}

// receivePermitMessage handles messages about permits for backend servers.
func (p *components) receivePermitMessage(from netip.AddrPort, d *datagram) {
	switch {
	case d.PermitRequest != nil:
		d.PermitRequest.Slots = d.PermitSlots
		response := p.permits.HandleRequest(*d.PermitRequest)
		reply := datagram{PermitResponse: &response}

		if response.BrittleGrant.Level > 0 {
			reply.BrittleGrant = &response.BrittleGrant
		}

		p.sendAll(map[fleet.InstanceID]netip.AddrPort{d.PermitRequest.From: from}, reply)
	case d.PermitResponse != nil:
		if d.BrittleGrant != nil {
			d.PermitResponse.BrittleGrant = *d.BrittleGrant
		}

		p.permits.HandleResponse(*d.PermitResponse)
	case d.PermitReport != nil:
		p.permits.HandleReport(*d.PermitReport)
	}
}

// receiveRelayMessage handles messages by which relays are found, and counts that a relay
// forwards.
func (p *components) receiveRelayMessage(now time.Time, d *datagram) {
	switch {
	case d.Report != nil:
		p.receiveReport(now, d.Report)
	case d.Redirect != nil:
		p.receiveRedirect(now, d.Redirect)
	default:
		for i := range d.Forwarded {
			p.receiveCounts(now, &d.Forwarded[i])
		}
	}
}

// sendDatagram sends a message to one instance, without retries: a request that is lost is sent to
// another instance, or its subject is refused.
func (p *components) sendDatagram(to fleet.InstanceID, d datagram) {
	if address, known := p.addressOf(to); known {
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{to: address}, d)
	}
}

// sendAll sends one message to several instances.
func (p *components) sendAll(peers map[fleet.InstanceID]netip.AddrPort, d datagram) {
	exchange := p.gossip.Load()
	if exchange == nil {
		return
	}

	data, err := msgpack.Marshal(&d)
	if err != nil || len(data) > gossip.MaxMessageBytes {
		klog.ErrorS(err, "gossip message could not be encoded or is too large", "bytes", len(data))

		return
	}

	for to, address := range peers {
		if err := exchange.Send(address, data); err != nil {
			klog.V(1).InfoS("datagram is not sent", "to", to, "err", err.Error())
		}
	}
}
