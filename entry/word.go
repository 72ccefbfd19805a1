package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/quota"
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
	// Usage are the sender's counts of the newest windows, so that they outlive it.
	Usage []usage.Count `msgpack:"u,omitempty"`
	// Leaving are backend servers that are known to leave.
	Leaving []fleet.InstanceID `msgpack:"l,omitempty"`
	// Rules is the version in force at the sender, and ConfirmedAgo how long ago it
	// asked for the newest; a negative age was never confirmed.
	Rules        uint64        `msgpack:"r"`
	ConfirmedAgo time.Duration `msgpack:"c"`
}

// echoes holds the newest time of each other instance.
type echoes struct {
	mu sync.Mutex
	at map[fleet.InstanceID]int64
}

func (e *echoes) of(id fleet.InstanceID) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.at[id]
}

func (e *echoes) heard(id fleet.InstanceID, at int64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.at == nil {
		e.at = make(map[fleet.InstanceID]int64)
	}

	e.at[id] = at
}

// makeWord makes the newest word for another instance.
func (p *parts) makeWord(now time.Time, to fleet.InstanceID) ([]byte, error) {
	w := word{
		Instance: p.self(), Incarnation: p.duties.incarnation, Address: p.settings.Listen.Peers, At: now.UnixNano(), Echo: p.echoes.of(to),
		Spent: p.limits.Spent(now), ConfirmedAgo: -1,
		Usage: p.counter.Recent(), Leaving: p.leaving(),
	}

	if rules := p.rules.Load(); rules != nil {
		if age, ok := p.currency.Age(); ok {
			w.Rules, w.ConfirmedAgo = rules.Version(), age
		}
	}

	data, err := msgpack.Marshal(&datagram{Word: &w})
	if err == nil && len(data) > gossip.MaxWord {
		// The board tells the counts too, only later.
		w.Usage = nil
		data, err = msgpack.Marshal(&datagram{Word: &w})
	}

	return data, err
}

// maxLeaving bounds how many leaving servers are told.
const maxLeaving = 16

// leaving returns servers that are known to leave.
func (p *parts) leaving() []fleet.InstanceID {
	var ids []fleet.InstanceID

	for _, s := range p.register.Servers() {
		if s.Leaving && len(ids) < maxLeaving {
			ids = append(ids, s.ID)
		}
	}

	return ids
}

// hearWord takes the word of another instance in.
func (p *parts) hearWord(now time.Time, w word) {
	if w.Instance == p.self() {
		return
	}

	p.members.Met(now, w.Instance, w.Address)
	p.echoes.heard(w.Instance, w.At)
	p.limits.Hear(now, w.Instance, w.Incarnation, w.Spent)

	p.duties.count(w)

	if p.register.Leave(w.Leaving) {
		p.scheduler.Update(p.register.Servers())
	}

	if w.Echo == 0 {
		return
	}

	echo := time.Unix(0, w.Echo)
	p.limits.Heard(echo, w.Instance)
	p.confirmBy(echo, w)
}

// confirmBy takes over another instance's confirmation that the rules in force here
// are the newest. It goes on so where the store turns only this instance away.
func (p *parts) confirmBy(echo time.Time, w word) {
	rules := p.rules.Load()
	if rules == nil || w.ConfirmedAgo < 0 || w.Rules != rules.Version() {
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
		Conn: conn, Clock: p.clock, Word: p.makeWord, Receive: p.receiveDatagram,
		Peers: func() map[fleet.InstanceID]netip.AddrPort { return p.members.Addresses(p.self()) },
	}
	p.gossip.Store(e)

	return e
}
