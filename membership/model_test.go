package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// The model network moves in slots; a tick of each node comes once in
// ticksEvery slots.
const (
	slot       = 5 * time.Millisecond
	ticksEvery = int(TickInterval / slot)
	wheelSize  = 128
)

// frameCost is what TLS, TCP and IP add to a message, with the frame's header
// and a bare acknowledgement the other way: 12 + 22 + 52 + 52 bytes.
const frameCost = 138

type delivery struct {
	from Source
	to   *modelNode
	id   fleet.InstanceID
	msg  Message
}

// modelNode is an instance with at most one running process.
type modelNode struct {
	identity Identity
	core     *Core
	running  bool
	frozen   bool
	inbox    []delivery
	sent     int64
	received int64
	messages int64
	worst    int
}

// model is a network of cores on a clock of its own.
type model struct {
	random   *rand.Rand
	nodes    []*modelNode
	byAddr   map[string]*modelNode
	wheel    [wheelSize][]delivery
	at       int
	start    time.Time
	loss     float64
	repeat   float64
	maxDelay int
	blocked  func(from, to *modelNode) bool
	changed  func(n *modelNode, c Change)
	seeds    []string
	config   Config
	// ignorePayload leaves payloads out of what nodes must agree on.
	ignorePayload bool
}

func newModel(seed uint64) *model {
	return &model{
		random:   rand.New(rand.NewPCG(seed, 1)),
		byAddr:   make(map[string]*modelNode),
		start:    time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		maxDelay: 1,
		blocked:  func(_, _ *modelNode) bool { return false },
		changed:  func(*modelNode, Change) {},
	}
}

func (m *model) now() time.Time {
	return m.start.Add(time.Duration(m.at) * slot)
}

func (m *model) add(region fleet.Region, domain fleet.FailureDomain) {
	i := len(m.nodes)
	n := &modelNode{identity: Identity{
		ID:      fleet.InstanceID(fmt.Sprintf("entry-%03d", i)),
		Region:  region,
		Domain:  domain,
		Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
	}}
	m.nodes = append(m.nodes, n)
	m.byAddr[n.identity.Address] = n
}

// boot starts a process with the next incarnation.
func (m *model) boot(n *modelNode) {
	n.identity.Incarnation++
	n.core = &Core{
		Self:   n.identity,
		Config: m.config,
		Random: rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64())),
	}
	n.running = true
	n.frozen = false
	n.inbox = nil
	n.core.Discover(m.now(), m.seeds)
}

func (m *model) crash(n *modelNode) {
	n.running = false
	n.inbox = nil
}

// thaw lets a frozen process go on; what waited in its sockets comes first.
func (m *model) thaw(n *modelNode) {
	if !n.frozen {
		return
	}

	n.frozen = false
	waiting := n.inbox
	n.inbox = nil

	for _, d := range waiting {
		m.deliver(d)
	}
}

func (m *model) run(d time.Duration) {
	for end := m.at + int(d/slot); m.at < end; {
		m.advance()
	}
}

func (m *model) advance() {
	m.at++
	due := m.wheel[m.at%wheelSize]
	m.wheel[m.at%wheelSize] = nil

	for _, d := range due {
		m.deliver(d)
	}

	for i, n := range m.nodes {
		if n.running && !n.frozen && (m.at+i)%ticksEvery == 0 {
			m.take(n, n.core.Tick(m.now()))
		}
	}
}

func (m *model) deliver(d delivery) {
	switch n := d.to; {
	case !n.running || (d.id != "" && d.id != n.identity.ID):
	case n.frozen:
		n.inbox = append(n.inbox, d)
	default:
		n.received += int64(d.msg.Size() + frameCost)
		m.take(n, n.core.Receive(m.now(), d.from, d.msg))
	}
}

// take carries out a step.
func (m *model) take(n *modelNode, step Step) {
	for _, c := range step.Changes() {
		m.changed(n, c)
	}

	for _, o := range step.Messages() {
		m.post(n, o)
	}
}

func (m *model) post(n *modelNode, o Outgoing) {
	size := o.Message().Size()
	n.sent += int64(size + frameCost)
	n.messages++
	n.worst = max(n.worst, size)

	to := m.byAddr[o.To().Address()]
	if to == nil || m.blocked(n, to) || m.random.Float64() < m.loss {
		return
	}

	d := delivery{
		from: Source{ID: n.identity.ID, Incarnation: n.identity.Incarnation, Address: n.identity.Address},
		to:   to,
		id:   o.To().ID(),
		msg:  o.Message(),
	}
	m.schedule(d)

	if m.random.Float64() < m.repeat {
		m.schedule(d)
	}
}

func (m *model) schedule(d delivery) {
	at := (m.at + 1 + m.random.IntN(m.maxDelay)) % wheelSize
	m.wheel[at] = append(m.wheel[at], d)
}

// running returns the nodes with a process.
func (m *model) running() []*modelNode {
	var nodes []*modelNode

	for _, n := range m.nodes {
		if n.running {
			nodes = append(nodes, n)
		}
	}

	return nodes
}

// disagreement describes the first difference between what a running node
// holds and what runs; empty when there is none. Of a region that a node
// cannot reach it keeps what it knew last.
func (m *model) disagreement() string {
	for _, n := range m.running() {
		if d := m.differs(n); d != "" {
			return d
		}
	}

	return ""
}

func (m *model) differs(n *modelNode) string {
	for _, other := range m.nodes {
		got := n.core.table.get(other.identity.ID)
		live := got != nil && got.member.Live()

		if live && !other.running && slices.Contains(n.core.unreachable(), other.identity.Region) {
			continue
		}

		if live != other.running {
			return fmt.Sprintf("%s holds %s live: got %v, want %v", n.identity.ID, other.identity.ID, live, other.running)
		}

		if !live {
			continue
		}

		if want := other.core.self(); *got.member != *want && (!m.ignorePayload || got.member.version() != want.version()) {
			return fmt.Sprintf("%s of %s: got %+v, want %+v", n.identity.ID, other.identity.ID, *got.member, *want)
		}
	}

	return ""
}

// calm is how long all must agree before they count as settled; a list that
// flaps agrees for moments only.
const calm = 5 * time.Second

// settle runs until all agree and stay so, at most for d, and returns how long
// it took until they did.
func (m *model) settle(d time.Duration) (time.Duration, string) {
	begun := m.now()
	agreed := begun

	for m.now().Sub(begun) < d+calm {
		m.run(500 * time.Millisecond)

		if m.disagreement() != "" {
			agreed = m.now()
		} else if m.now().Sub(agreed) >= calm {
			return agreed.Sub(begun), ""
		}
	}

	return d, "not settled: " + m.disagreement()
}
