package entry

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/usage"
)

// word is what an instance tells another several times a second.
type word struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	// Address is where the sender hears words.
	Address string `msgpack:"a"`
	// At is the sender's clock, and Echo the newest At that it has from the receiver:
	// what this word says was true after Echo, however long the word was on its way.
	At    int64         `msgpack:"t"`
	Echo  int64         `msgpack:"e"`
	Spent []quota.Spent `msgpack:"s,omitempty"`
	// Leaving are backend servers that are known to leave.
	Leaving []register.Start `msgpack:"l,omitempty"`
	// Rules is the version in force at the sender, and ConfirmedAgo how long ago it
	// asked for the newest; a negative age was never confirmed.
	Rules        uint64        `msgpack:"r"`
	ConfirmedAgo time.Duration `msgpack:"c"`
	// Register names the backend servers that the sender knows, and RegisterAgo is how
	// long ago they were asked for; a negative age was never confirmed.
	Register    uint64        `msgpack:"d"`
	RegisterAgo time.Duration `msgpack:"g"`
	// Loads are what backend servers told the sender, by their place in the register
	// that Register names.
	Loads []serverLoad `msgpack:"b,omitempty"`
}

// serverLoad is how many requests a backend server had.
type serverLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Place    uint16
	Requests uint16
	AgeMs    uint16
}

// told are an instance's counts of usage in the newest windows, so that they outlive it.
type told struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Usage       []usage.Count     `msgpack:"u"`
}

// countsPerDatagram keeps a datagram with counts below gossip.MaxWord: one takes up to
// 30 bytes.
const countsPerDatagram = 40

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

// makeWords prepares the newest words and returns what makes those for one instance.
// Only the echo differs between instances. Echoes are taken before the rest: what a
// word says must have been true after its echo, also if this process sleeps meanwhile.
func (p *parts) makeWords(now time.Time) func(to fleet.InstanceID) ([][]byte, error) {
	echoes := p.echoes.all()
	newest := p.makeWord(now)
	counts, err := p.makeCounts()

	return func(to fleet.InstanceID) ([][]byte, error) {
		if err != nil {
			return nil, err
		}

		w := newest
		w.Echo = echoes[to]

		first, err := msgpack.Marshal(&datagram{Word: &w})
		if err != nil || !p.members.Leading(to) {
			return [][]byte{first}, err
		}

		// Those that may hold duties count all usage.
		return append([][]byte{first}, counts...), nil
	}
}

// makeCounts makes the datagrams with this instance's counts of usage.
func (p *parts) makeCounts() ([][]byte, error) {
	var datagrams [][]byte

	for counts := range slices.Chunk(p.counter.Recent(), countsPerDatagram) {
		data, err := msgpack.Marshal(&datagram{Told: &told{
			Instance: p.self(), Incarnation: p.duties.incarnation, Usage: counts,
		}})
		if err != nil {
			return nil, err
		}

		datagrams = append(datagrams, data)
	}

	return datagrams, nil
}

// makeWord makes the newest word, without an echo.
func (p *parts) makeWord(now time.Time) word {
	w := word{
		Instance: p.self(), Incarnation: p.duties.incarnation, Address: p.settings.Listen.Peers, At: now.UnixNano(),
		Spent: p.limits.Spent(now), ConfirmedAgo: -1, RegisterAgo: -1, Leaving: p.leaving(),
	}

	if age, ok := p.registered.Age(); ok {
		w.Register, w.RegisterAgo = p.register.Digest(), age
		w.Loads = p.loads(now)
	}

	if rules := p.rules.Load(); rules != nil {
		if age, ok := p.currency.Age(); ok {
			w.Rules, w.ConfirmedAgo = rules.Version(), age
		}
	}

	return w
}

// maxLeaving bounds how many leaving servers are told.
const maxLeaving = 16

// leaving returns servers that are known to leave.
func (p *parts) leaving() []register.Start {
	var starts []register.Start

	for _, s := range p.register.Servers() {
		if s.Leaving && len(starts) < maxLeaving {
			starts = append(starts, s.Start())
		}
	}

	return starts
}

// hearWord takes the word of another instance in.
func (p *parts) hearWord(now time.Time, w word) {
	if w.Instance == p.self() {
		return
	}

	p.members.Met(now, w.Instance, w.Address)
	p.echoes.heard(w.Instance, w.At)
	p.limits.Hear(now, w.Instance, w.Incarnation, w.Spent)

	if p.register.Leave(w.Leaving) {
		p.scheduler.Update(p.register.Servers())
	}

	if w.Register == p.register.Digest() {
		p.hearLoads(now, w.Loads)
	}

	if w.Echo == 0 {
		return
	}

	echo := time.Unix(0, w.Echo)
	p.limits.Heard(echo, w.Instance)
	p.confirmBy(echo, w)

	if w.RegisterAgo >= 0 {
		p.compareRegister(w.Register, echo.Add(-w.RegisterAgo))
	}
}

// confirmBy takes over another instance's confirmation that the rules in force here
// are the newest. It goes on so where the store turns only this instance away.
func (p *parts) confirmBy(echo time.Time, w word) {
	rules := p.rules.Load()
	if rules == nil || w.ConfirmedAgo < 0 {
		return
	}

	if w.Rules > rules.Version() {
		p.missedRules(w.Rules)

		return
	}

	if w.Rules != rules.Version() {
		return
	}

	p.currency.Confirm(echo.Add(-w.ConfirmedAgo))
}

// openGossip opens the socket for the others' words.
func (e *Entry) openGossip(ctx context.Context) (net.PacketConn, error) {
	var config net.ListenConfig

	conn, err := config.ListenPacket(ctx, "udp4", e.Settings.Listen.Peers)

	return conn, merry.Prepend(err, "listen on "+e.Settings.Listen.Peers)
}

// gossips returns the exchange of words over a socket.
func (p *parts) gossips(conn net.PacketConn) *gossip.Exchange {
	e := &gossip.Exchange{
		Conn: conn, Clock: p.clock, Words: p.makeWords, Receive: p.receiveDatagram,
		Peers: func() map[fleet.InstanceID]netip.AddrPort { return p.members.Addresses(p.self()) },
	}
	p.gossip.Store(e)

	return e
}
