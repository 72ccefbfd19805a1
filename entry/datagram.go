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
)

// datagram is one message between instances. One of its fields is set, or Heartbeat and Spent.
type datagram struct {
	Heartbeat   *heartbeat          `msgpack:"w,omitempty"`
	Consumption *consumptionMessage `msgpack:"d,omitempty"`
	Counts      *usageCounts        `msgpack:"u,omitempty"`
	// Forwarded are counts of several instances, as their relay passes them on.
	Forwarded []usageCounts `msgpack:"y,omitempty"`
	// LoanRequest and Reply lend limits of client accounts.
	LoanRequest  *quota.LoanRequest  `msgpack:"a,omitempty"`
	LoanResponse *quota.LoanResponse `msgpack:"r,omitempty"`
	// PermitRequest and Permitted grant requests to backend servers that limit them.
	PermitRequest  *ratelimit.PermitRequest  `msgpack:"l,omitempty"`
	PermitResponse *ratelimit.PermitResponse `msgpack:"m,omitempty"`
	// Servers are changes of backend servers.
	Servers []serverChange `msgpack:"s,omitempty"`
	// Prompts is what another instance knows of prompts at model engines.
	Prompts *promptMessage `msgpack:"p,omitempty"`
	// Trials is what another instance counted while new versions are tried.
	Trials *trialCounts `msgpack:"v,omitempty"`
	// Losses are backend servers that ended under requests.
	Losses []quarantine.Loss `msgpack:"q,omitempty"`
	// Report is a relay's report to those that lead, and Redirect names relays to an instance.
	Report   *reportMessage `msgpack:"o,omitempty"`
	Redirect *redirect      `msgpack:"c,omitempty"`
}

// receiveDatagram takes any message of another instance in.
func (p *components) receiveDatagram(now time.Time, from netip.AddrPort, data []byte) {
	var d datagram
	if err := codec.Unmarshal(data, &d); err != nil {
		klog.ErrorS(err, "gossip can't be decoded", "bytes", len(data))

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
		// One that has just started, or stops, is no member here.
		reply := p.loans.HandleRequest(*d.LoanRequest)
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{d.LoanRequest.From: from}, datagram{LoanResponse: &reply})
	case d.PermitRequest != nil:
		reply := p.permits.HandleRequest(*d.PermitRequest)
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{d.PermitRequest.From: from}, datagram{PermitResponse: &reply})
	case d.PermitResponse != nil:
		p.permits.HandleResponse(*d.PermitResponse)
	case len(d.Servers) > 0:
		p.receiveServerChanges(now, d.Servers)
	case d.Prompts != nil:
		p.receivePrompts(now, d.Prompts)
	case len(d.Losses) > 0:
		p.receiveLosses(now, d.Losses)
	case d.LoanResponse != nil:
		p.loans.HandleResponse(*d.LoanResponse)
	default:
		p.receiveRelayMessage(now, &d)
	}
}

// receiveRelayMessage takes a message in by which relays are found and counts are passed on.
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

// sendDatagram sends a message to one instance at once. What does not arrive is asked of
// another one, or refused.
func (p *components) sendDatagram(to fleet.InstanceID, d datagram) {
	if address, known := p.addressOf(to); known {
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{to: address}, d)
	}
}

// sendAll sends one message to some instances at once.
func (p *components) sendAll(peers map[fleet.InstanceID]netip.AddrPort, d datagram) {
	e := p.gossip.Load()
	if e == nil {
		return
	}

	data, err := msgpack.Marshal(&d)
	if err != nil || len(data) > gossip.MaxMessageBytes {
		klog.ErrorS(err, "datagram can't be sent", "bytes", len(data))

		return
	}

	for to, address := range peers {
		if err := e.Send(address, data); err != nil {
			klog.V(1).InfoS("datagram is not sent", "to", to, "err", err.Error())
		}
	}
}
