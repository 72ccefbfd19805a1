package entry

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/board"
	"monsoonlever/detour"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
	"monsoonlever/rollout"
	"monsoonlever/topology"
)

// heartbeat is the message that an instance sends to each of its peers several times a second.
type heartbeat struct {
	Instance fleet.InstanceID `msgpack:"i"`
	// Address is where the sender receives heartbeats, Domain its failure domain and Cores its
	// number of processor cores.
	Address string              `msgpack:"a"`
	Domain  fleet.FailureDomain `msgpack:"f"`
	Cores   float64             `msgpack:"o"`
	// Stopping is set while the sender stops. Relation is the sender's view of its relation to the
	// receiver.
	Stopping bool              `msgpack:"q,omitempty"`
	Relation topology.Relation `msgpack:"u"`
	// Leaders are the leaders that the sender knows.
	Leaders []fleet.InstanceID `msgpack:"x,omitempty"`
	// InstanceCount is the number of instances that the sender knows, and GroupSize the number of
	// its subscribers and itself if it is a relay. Forming is set while its directory names no
	// relays.
	InstanceCount int  `msgpack:"m"`
	GroupSize     int  `msgpack:"z,omitempty"`
	Forming       bool `msgpack:"b2,omitempty"`
	// DirectoryEnd is where the log of the directory ended that a leader has read; zero is unknown.
	DirectoryEnd feed.Position `msgpack:"s,omitempty"`
	// CanGrant is set while the sender coordinates the limits of client accounts and can grant
	// consumption, and CoordinatorsReady if it knows that most leaders have been able to.
	CanGrant          bool `msgpack:"k,omitempty"`
	CoordinatorsReady bool `msgpack:"p,omitempty"`
	// At is the sender's time as one of its stamps, and Echo the newest At that it received from the
	// receiver. The content of this heartbeat was valid after Echo, however long the heartbeat took to
	// arrive.
	At   int64 `msgpack:"t"`
	Echo int64 `msgpack:"e"`
	// Leaving are processes of backend servers that are known to leave.
	Leaving []register.Process `msgpack:"l,omitempty"`
	// Rules is the version in force at the sender, and ConfirmedAgo how long ago the read was
	// requested that confirmed it as the newest; negative if there was none.
	Rules        uint64        `msgpack:"r"`
	ConfirmedAgo time.Duration `msgpack:"c"`
	// Register is the digest of the backend servers that the sender knows, and RegisterAgo how
	// long ago the read that confirmed them was requested; negative if there was none.
	Register    uint64        `msgpack:"d"`
	RegisterAgo time.Duration `msgpack:"g"`
	// Era is the newest era of the store that the sender has seen.
	Era uint64 `msgpack:"b,omitempty"`
	// Detours is set if the sender serves requests of other instances, except for LostServices,
	// to which it has no path itself.
	Detours      bool            `msgpack:"h,omitempty"`
	LostServices []fleet.Service `msgpack:"j,omitempty"`
	// WantsHelpers is set if the sender, or one of its subscribers, needs other instances to serve
	// its requests. Helpers are some that do.
	WantsHelpers bool            `msgpack:"n,omitempty"`
	Helpers      []detour.Helper `msgpack:"y,omitempty"`
	// Rollouts are the duty holder's decisions on rollouts.
	Rollouts []rollout.Update `msgpack:"v,omitempty"`
}

// echoes holds the newest At received from each other instance.
type echoes struct {
	mu sync.Mutex
	at map[fleet.InstanceID]int64
}

// snapshot returns a copy of the newest times.
func (e *echoes) snapshot() map[fleet.InstanceID]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return maps.Clone(e.at)
}

func (e *echoes) record(id fleet.InstanceID, at int64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.at == nil {
		e.at = make(map[fleet.InstanceID]int64)
	}

	e.at[id] = at
}

// makeHeartbeats prepares a round of heartbeats and returns the function that encodes the one for
// an instance. Only the echoes and the relation differ between receivers. The echoes are copied
// before the content is collected: the content must have been valid after its echo, even if this
// process is suspended in between.
func (p *components) makeHeartbeats(now time.Time) func(to fleet.InstanceID) ([][]byte, error) {
	echoes, newest := p.echoes.snapshot(), p.consumptionSeen.newest()
	plan := p.plan.Load()
	base := p.makeHeartbeat(now)

	var consumption []consumptionMessage
	if plan.FullMesh || plan.IsLeader(p.self()) {
		consumption = p.makeConsumption(now)
	}

	return func(to fleet.InstanceID) ([][]byte, error) {
		h := base
		h.Echo = echoes[to]
		h.Relation = plan.Relation(to)
		h.Helpers = p.helpersFor(now, to)

		d := datagram{Heartbeat: &h}
		if len(consumption) == 0 || !plan.FullMesh && !plan.IsLeader(to) {
			return marshalHeartbeat(d)
		}

		return marshalHeartbeat(d, p.answer(now, consumption, newest[to])...)
	}
}

// makeHeartbeat returns the content of a heartbeat, without an echo.
func (p *components) makeHeartbeat(now time.Time) heartbeat {
	plan := p.plan.Load()
	h := heartbeat{
		Instance: p.self(), Address: p.settings.Listen.Peers,
		Domain: p.settings.FailureDomain, Cores: p.settings.Limits.ProcessorCores, Stopping: p.stopping.Load(),
		Leaders: plan.Leaders, InstanceCount: plan.InstanceCount, At: p.stamps.at(now), ConfirmedAgo: -1, RegisterAgo: -1, Leaving: p.leavingServers(),
		Era: p.store.Era(), Rollouts: p.rollouts.updates(now), Detours: true, LostServices: p.scheduler.LostServices(now),
	}
	h.WantsHelpers = !plan.FullMesh && (len(h.LostServices) > 0 || p.forwarder.LacksConnections() || p.helperRequests.any(now))

	if view := p.directory.Load(); view != nil {
		h.Forming = view.Forming
	}

	if plan.IsLeader(p.self()) {
		h.DirectoryEnd = p.directoryLog.End()
	}

	h.CanGrant = plan.IsLeader(p.self()) && p.limits.CanGrant(now)
	h.CoordinatorsReady = p.coordinators.isReady()

	if plan.Relay && !plan.FullMesh {
		h.GroupSize = 1 + len(plan.Subscribers)
	}

	if age, ok := p.registerCurrency.Age(); ok {
		h.Register, h.RegisterAgo = p.register.Digest(), age
	}

	if rules := p.rules.Load(); rules != nil {
		if age, ok := p.rulesCurrency.Age(); ok {
			h.Rules, h.ConfirmedAgo = rules.Version(), age
		}
	}

	return h
}

// maxLeavingBytes bounds the leaving servers in a heartbeat, and processBytes is the encoded size
// of one without its ID.
const (
	maxLeavingBytes = 400
	processBytes    = 14
)

// leavingServers returns the leaving servers for the next heartbeat. If not all of them fit,
// successive heartbeats carry successive batches.
func (p *components) leavingServers() []register.Process {
	var processes []register.Process

	for _, s := range p.register.Servers() {
		if s.Leaving {
			processes = append(processes, s.Process())
		}
	}

	batches := packWithin(processes, maxLeavingBytes, func(s register.Process) int { return processBytes + len(s.ID) })
	if len(batches) == 0 {
		return nil
	}

	return batches[p.leavingRound.Add(1)%uint64(len(batches))]
}

// receiveHeartbeat handles the heartbeat of another instance.
func (p *components) receiveHeartbeat(now time.Time, from netip.AddrPort, h heartbeat) {
	if h.Instance == p.self() {
		return
	}

	p.updateMember(now, h)
	p.coordinators.receive(h, p.plan.Load())
	p.compareDirectory(h.Instance, h.DirectoryEnd)
	p.recordHelpers(now, &h)

	if from.IsValid() {
		p.sendRedirect(from, h)
	}

	p.echoes.record(h.Instance, h.At)
	p.observeEra(h.Era)

	p.markLeaving(h.Leaving)

	echo, ok := p.echoedAt(now, h.Instance, h.Echo)
	p.rollouts.receive(now, h.Rollouts, echo)

	if !ok {
		return
	}

	p.confirmFromPeer(echo, h)

	if h.RegisterAgo >= 0 {
		p.compareRegister(h.Instance, h.Register, echo.Add(-h.RegisterAgo))
	}
}

// updateMember records that another instance is alive. A stopping instance is replaced immediately
// as a relay or leader; in a full mesh it shares limits with the others until it has terminated.
func (p *components) updateMember(now time.Time, h heartbeat) {
	member := board.MemberOf(h.Instance, h.Domain, h.Address, h.Cores)

	if h.Stopping {
		p.links.PeerStopped(h.Instance)

		if p.plan.Load().FullMesh {
			p.members.Add(now, member)
		} else {
			p.members.Remove(h.Instance)
		}

		return
	}

	if p.fullMesh() {
		p.members.Add(now, member)
	}

	p.links.MessageReceived(now, member, h.Relation)
	p.links.LeadersReported(now, h.Instance, h.Leaders, h.InstanceCount)

	if h.GroupSize > 0 {
		p.links.GroupSizeReported(h.Instance, h.GroupSize)
	}
}

// confirmFromPeer adopts another instance's confirmation that the rules in force here are the
// newest. This way the instance continues to serve while the store rejects only its requests.
func (p *components) confirmFromPeer(echo time.Time, h heartbeat) {
	rules := p.rules.Load()
	if rules == nil || h.ConfirmedAgo < 0 {
		return
	}

	if h.Rules > rules.Version() {
		p.confirmations.record(h.Instance, echo.Add(-h.ConfirmedAgo))
		p.restoration.recordRulesVersion(h.Rules)
		p.requestMissedRules(h.Rules)

		return
	}

	if h.Rules != rules.Version() {
		return
	}

	p.rulesCurrency.Confirm(echo.Add(-h.ConfirmedAgo))
	p.confirmations.record(h.Instance, echo.Add(-h.ConfirmedAgo))
}

// openGossip opens the UDP socket for the messages of other instances.
func (e *Entry) openGossip(ctx context.Context) (net.PacketConn, error) {
	var config net.ListenConfig

	conn, err := config.ListenPacket(ctx, "udp4", e.Settings.Listen.Peers)

	return conn, merry.Prepend(err, "listen on "+e.Settings.Listen.Peers)
}

// newGossip returns the exchange of heartbeats over a socket.
func (p *components) newGossip(conn net.PacketConn) *gossip.Exchange {
	e := &gossip.Exchange{
		Conn: conn, Clock: p.clock, Messages: p.makeHeartbeats, Receive: p.receiveDatagram,
		Peers: []func(time.Time) map[fleet.InstanceID]netip.AddrPort{p.relayPeers, p.subscriberAddresses},
	}
	p.gossip.Store(e)

	return e
}

// marshalHeartbeat encodes a heartbeat and the consumption messages for coordinators, in one
// datagram if they fit.
func marshalHeartbeat(d datagram, consumption ...consumptionMessage) ([][]byte, error) {
	if len(consumption) == 1 {
		both := d
		both.Consumption = &consumption[0]

		if data, err := msgpack.Marshal(&both); err != nil || len(data) <= gossip.MaxMessageBytes {
			return [][]byte{data}, err
		}
	}

	data, err := msgpack.Marshal(&d)
	if err != nil {
		return nil, err
	}

	datagrams := [][]byte{data}

	for i := range consumption {
		data, err := msgpack.Marshal(&datagram{Consumption: &consumption[i]})
		if err != nil {
			return nil, err
		}

		datagrams = append(datagrams, data)
	}

	return datagrams, nil
}
