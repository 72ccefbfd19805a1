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
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
	"monsoonlever/rollout"
	"monsoonlever/topology"
)

// heartbeat is what an instance tells another several times a second.
type heartbeat struct {
	Instance fleet.InstanceID `msgpack:"i"`
	// Address is where the sender hears heartbeats, Domain its failure domain and Cores its
	// share of processor cores.
	Address string              `msgpack:"a"`
	Domain  fleet.FailureDomain `msgpack:"f"`
	Cores   float64             `msgpack:"o"`
	// Stopping is set while the sender stops. Relation is what the sender takes the
	// receiver for.
	Stopping bool              `msgpack:"q,omitempty"`
	Relation topology.Relation `msgpack:"u"`
	// Leaders are those that lead, as the sender knows it.
	Leaders []fleet.InstanceID `msgpack:"x,omitempty"`
	// Members is how many instances the sender knows, and Size how many it stands for as a
	// relay. Forming is set while it knows no relays.
	Members int  `msgpack:"m"`
	Size    int  `msgpack:"z,omitempty"`
	Forming bool `msgpack:"b2,omitempty"`
	// Grants is set while the sender keeps the limits of client accounts and may grant something,
	// and Kept that it knows most of those that lead to do so.
	Grants bool `msgpack:"k,omitempty"`
	Kept   bool `msgpack:"p,omitempty"`
	// At is the sender's clock, and Echo the newest At that it has from the receiver:
	// what this heartbeat says was true after Echo, however long the heartbeat was on its way.
	At   int64 `msgpack:"t"`
	Echo int64 `msgpack:"e"`
	// Leaving are backend servers that are known to leave.
	Leaving []register.Process `msgpack:"l,omitempty"`
	// Rules is the version in force at the sender, and ConfirmedAgo how long ago it
	// asked for the newest; a negative age was never confirmed.
	Rules        uint64        `msgpack:"r"`
	ConfirmedAgo time.Duration `msgpack:"c"`
	// Register names the backend servers that the sender knows, and RegisterAgo is how
	// long ago they were asked for; a negative age was never confirmed.
	Register    uint64        `msgpack:"d"`
	RegisterAgo time.Duration `msgpack:"g"`
	// Era is the newest era of the store that the sender has seen.
	Era uint64 `msgpack:"b,omitempty"`
	// Rollouts is what the holder of the duties has decided on new versions.
	Rollouts []rollout.Update `msgpack:"v,omitempty"`
}

// echoes holds the newest time of each other instance.
type echoes struct {
	mu sync.Mutex
	at map[fleet.InstanceID]int64
}

// all returns the newest times of all.
func (e *echoes) all() map[fleet.InstanceID]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return maps.Clone(e.at)
}

func (e *echoes) heard(id fleet.InstanceID, at int64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.at == nil {
		e.at = make(map[fleet.InstanceID]int64)
	}

	e.at[id] = at
}

// makeHeartbeats prepares the newest heartbeats and returns what makes those for one instance.
// Only echoes and what the receiver is to this instance differ. Echoes are taken before
// the rest: what a heartbeat says must have been true after its echo, also if this process
// sleeps meanwhile.
func (p *parts) makeHeartbeats(now time.Time) func(to fleet.InstanceID) ([][]byte, error) {
	echoes, spentEchoes := p.echoes.all(), p.spentSeen.echoes()
	plan := p.plan.Load()
	newest := p.makeHeartbeat(now)

	var spent []spentNews
	if plan.FullMesh || plan.IsLeader(p.self()) {
		spent = p.makeSpent(now)
	}

	return func(to fleet.InstanceID) ([][]byte, error) {
		w := newest
		w.Echo = echoes[to]
		w.Relation = plan.Relation(to)

		d := datagram{Heartbeat: &w}
		if len(spent) == 0 || !plan.FullMesh && !plan.IsLeader(to) {
			return marshalAll(d)
		}

		return marshalAll(d, withEcho(spent, spentEchoes[to])...)
	}
}

// makeHeartbeat makes the newest heartbeat, without an echo.
func (p *parts) makeHeartbeat(now time.Time) heartbeat {
	plan := p.plan.Load()
	w := heartbeat{
		Instance: p.self(), Address: p.settings.Listen.Peers,
		Domain: p.settings.FailureDomain, Cores: p.settings.Limits.ProcessorCores, Stopping: p.stopping.Load(),
		Leaders: plan.Leaders, Members: plan.InstanceCount, At: now.UnixNano(), ConfirmedAgo: -1, RegisterAgo: -1, Leaving: p.leaving(),
		Era: p.store.Era(), Rollouts: p.rollouts.updates(now),
	}

	if view := p.directory.Load(); view != nil {
		w.Forming = view.Forming
	}

	w.Grants = plan.IsLeader(p.self()) && p.limits.CanGrant(now)
	w.Kept = p.keepers.kept()

	if plan.Relay && !plan.FullMesh {
		w.Size = 1 + len(plan.Subscribers)
	}

	if age, ok := p.registered.Age(); ok {
		w.Register, w.RegisterAgo = p.register.Digest(), age
	}

	if rules := p.rules.Load(); rules != nil {
		if age, ok := p.currency.Age(); ok {
			w.Rules, w.ConfirmedAgo = rules.Version(), age
		}
	}

	return w
}

// leavingBytes is what leaving servers take of a heartbeat at most, and startBytes what one
// takes beside its id.
const (
	leavingBytes = 400
	startBytes   = 14
)

// leaving returns servers that are known to leave. Where they don't fit into one heartbeat,
// the next heartbeats tell the others.
func (p *parts) leaving() []register.Process {
	var starts []register.Process

	for _, s := range p.register.Servers() {
		if s.Leaving {
			starts = append(starts, s.Process())
		}
	}

	parts := packInto(starts, leavingBytes, func(s register.Process) int { return startBytes + len(s.ID) })
	if len(parts) == 0 {
		return nil
	}

	return parts[p.leavingTurn.Add(1)%uint64(len(parts))]
}

// receiveHeartbeat takes the heartbeat of another instance in.
func (p *parts) receiveHeartbeat(now time.Time, from netip.AddrPort, w heartbeat) {
	if w.Instance == p.self() {
		return
	}

	p.updateMember(now, w)
	p.keepers.receive(w, p.plan.Load())

	if from.IsValid() {
		p.redirectMember(from, w)
	}

	p.echoes.heard(w.Instance, w.At)
	p.noteEra(w.Era)

	p.markLeaving(w.Leaving)

	if w.Echo == 0 {
		p.rollouts.receive(now, w.Rollouts, time.Time{})

		return
	}

	echo := time.Unix(0, w.Echo)
	p.rollouts.receive(now, w.Rollouts, echo)
	p.confirmBy(echo, w)

	if w.RegisterAgo >= 0 {
		p.compareRegister(w.Instance, w.Register, echo.Add(-w.RegisterAgo))
	}
}

// updateMember records that another instance is alive. One that stops is replaced at once
// where it relays or leads; one of few shares limits with the others until it has ended.
func (p *parts) updateMember(now time.Time, w heartbeat) {
	member := board.MemberOf(w.Instance, w.Domain, w.Address, w.Cores)

	if w.Stopping {
		p.links.PeerStopped(w.Instance)

		if p.plan.Load().FullMesh {
			p.members.Add(now, member)
		} else {
			p.members.Remove(w.Instance)
		}

		return
	}

	if p.few() {
		p.members.Add(now, member)
	}

	p.links.MessageReceived(now, member, w.Relation)
	p.links.LeadersReported(now, w.Instance, w.Leaders, w.Members)

	if w.Size > 0 {
		p.links.GroupSizeReported(w.Instance, w.Size)
	}
}

// confirmBy takes over another instance's confirmation that the rules in force here
// are the newest. It goes on so where the store turns only this instance away.
func (p *parts) confirmBy(echo time.Time, w heartbeat) {
	rules := p.rules.Load()
	if rules == nil || w.ConfirmedAgo < 0 {
		return
	}

	if w.Rules > rules.Version() {
		p.confirmations.note(w.Instance, echo.Add(-w.ConfirmedAgo))
		p.restored.noteVersion(w.Rules)
		p.missedRules(w.Rules)

		return
	}

	if w.Rules != rules.Version() {
		return
	}

	p.currency.Confirm(echo.Add(-w.ConfirmedAgo))
	p.confirmations.note(w.Instance, echo.Add(-w.ConfirmedAgo))
}

// openGossip opens the socket for the others' heartbeats.
func (e *Entry) openGossip(ctx context.Context) (net.PacketConn, error) {
	var config net.ListenConfig

	conn, err := config.ListenPacket(ctx, "udp4", e.Settings.Listen.Peers)

	return conn, merry.Prepend(err, "listen on "+e.Settings.Listen.Peers)
}

// gossips returns the exchange of heartbeats over a socket.
func (p *parts) gossips(conn net.PacketConn) *gossip.Exchange {
	e := &gossip.Exchange{
		Conn: conn, Clock: p.clock, Messages: p.makeHeartbeats, Receive: p.receiveDatagram,
		Peers: []func(time.Time) map[fleet.InstanceID]netip.AddrPort{p.relayPeers, p.subscribers},
	}
	p.gossip.Store(e)

	return e
}

// marshalAll encodes a heartbeat with what keepers of limits tell each other: in one datagram
// where it fits.
func marshalAll(first datagram, spent ...spentNews) ([][]byte, error) {
	if len(spent) == 1 {
		both := first
		both.Spent = &spent[0]

		if data, err := msgpack.Marshal(&both); err != nil || len(data) <= gossip.MaxMessageBytes {
			return [][]byte{data}, err
		}
	}

	data, err := msgpack.Marshal(&first)
	if err != nil {
		return nil, err
	}

	datagrams := [][]byte{data}

	for i := range spent {
		data, err := msgpack.Marshal(&datagram{Spent: &spent[i]})
		if err != nil {
			return nil, err
		}

		datagrams = append(datagrams, data)
	}

	return datagrams, nil
}
