package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// The simulated network advances in slots. Each node ticks once every
// slotsPerTick slots.
const (
	slotDuration = 5 * time.Millisecond
	slotsPerTick = int(TickInterval / slotDuration)
	wheelSize    = 128
)

// frameOverheadBytes is the overhead of a message in bytes: 12 for the frame
// header, 22 for TLS, 52 for TCP and IP, and 52 for a TCP acknowledgement in the
// other direction.
const frameOverheadBytes = 138

type delivery struct {
	from Source
	to   *simulatedNode
	id   fleet.InstanceID
	msg  Message
}

// simulatedNode is an instance with at most one running process.
type simulatedNode struct {
	identity       Identity
	core           *Core
	running        bool
	frozen         bool
	inbox          []delivery
	sent           int64
	received       int64
	messages       int64
	largestMessage int
}

// simulation is a network of cores with a simulated clock.
type simulation struct {
	random      *rand.Rand
	nodes       []*simulatedNode
	byAddr      map[string]*simulatedNode
	wheel       [wheelSize][]delivery
	currentSlot int
	start       time.Time
	lossRate    float64
	repeatRate  float64
	maxDelay    int
	blocked     func(from, to *simulatedNode) bool
	onChange    func(n *simulatedNode, c Change)
	seeds       []string
	config      Config
	// ignorePayload excludes payloads from the comparison of the nodes.
	ignorePayload bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		byAddr:   make(map[string]*simulatedNode),
		start:    time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		maxDelay: 1,
		blocked:  func(_, _ *simulatedNode) bool { return false },
		onChange: func(*simulatedNode, Change) {},
	}
}

func (m *simulation) now() time.Time {
	return m.start.Add(time.Duration(m.currentSlot) * slotDuration)
}

func (m *simulation) add(region fleet.Region, domain fleet.FailureDomain) {
	i := len(m.nodes)
	n := &simulatedNode{identity: Identity{
		ID:      fleet.InstanceID(fmt.Sprintf("entry-%03d", i)),
		Region:  region,
		Domain:  domain,
		Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
	}}
	m.nodes = append(m.nodes, n)
	m.byAddr[n.identity.Address] = n
}

// boot starts a process with the node's next incarnation.
func (m *simulation) boot(n *simulatedNode) {
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

func (m *simulation) crash(n *simulatedNode) {
	n.running = false
	n.inbox = nil
}

// resume resumes a frozen process, which first receives the messages that waited
// in its sockets.
func (m *simulation) resume(n *simulatedNode) {
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

func (m *simulation) run(d time.Duration) {
	for end := m.currentSlot + int(d/slotDuration); m.currentSlot < end; {
		m.advance()
	}
}

func (m *simulation) advance() {
	m.currentSlot++
	due := m.wheel[m.currentSlot%wheelSize]
	m.wheel[m.currentSlot%wheelSize] = nil

	for _, d := range due {
		m.deliver(d)
	}

	for i, n := range m.nodes {
		if n.running && !n.frozen && (m.currentSlot+i)%slotsPerTick == 0 {
			m.execute(n, n.core.Tick(m.now()))
		}
	}
}

func (m *simulation) deliver(d delivery) {
	switch n := d.to; {
	case !n.running || (d.id != "" && d.id != n.identity.ID):
	case n.frozen:
		n.inbox = append(n.inbox, d)
	default:
		n.received += int64(d.msg.Size() + frameOverheadBytes)
		m.execute(n, n.core.Receive(m.now(), d.from, d.msg))
	}
}

// execute delivers the messages of a step and reports its changes.
func (m *simulation) execute(n *simulatedNode, step Step) {
	for _, c := range step.Changes() {
		m.onChange(n, c)
	}

	for _, o := range step.Messages() {
		m.send(n, o)
	}
}

func (m *simulation) send(n *simulatedNode, o Outgoing) {
	size := o.Message().Size()
	n.sent += int64(size + frameOverheadBytes)
	n.messages++
	n.largestMessage = max(n.largestMessage, size)

	to := m.byAddr[o.To().Address()]
	if to == nil || m.blocked(n, to) || m.random.Float64() < m.lossRate {
		return
	}

	d := delivery{
		from: Source{ID: n.identity.ID, Incarnation: n.identity.Incarnation, Address: n.identity.Address},
		to:   to,
		id:   o.To().ID(),
		msg:  o.Message(),
	}
	m.schedule(d)

	if m.random.Float64() < m.repeatRate {
		m.schedule(d)
	}
}

func (m *simulation) schedule(d delivery) {
	at := (m.currentSlot + 1 + m.random.IntN(m.maxDelay)) % wheelSize
	m.wheel[at] = append(m.wheel[at], d)
}

// running returns the nodes whose process runs.
func (m *simulation) running() []*simulatedNode {
	var nodes []*simulatedNode

	for _, n := range m.nodes {
		if n.running {
			nodes = append(nodes, n)
		}
	}

	return nodes
}

// disagreement describes the first difference between the table of a running node
// and the processes that run; empty when there is none. A node may still list
// terminated members of a region that it holds unreachable.
func (m *simulation) disagreement() string {
	for _, n := range m.running() {
		if d := m.disagreementOf(n); d != "" {
			return d
		}
	}

	return ""
}

func (m *simulation) disagreementOf(n *simulatedNode) string {
	for _, other := range m.nodes {
		got := n.core.table.get(other.identity.ID)
		live := got != nil && got.member.Live()

		if live && !other.running && slices.Contains(n.core.unreachable(), other.identity.Region) {
			continue
		}

		if live != other.running {
			return fmt.Sprintf("%s lists %s as live: got %v, want %v", n.identity.ID, other.identity.ID, live, other.running)
		}

		if !live {
			continue
		}

		if want := other.core.self(); *got.member != *want && (!m.ignorePayload || got.member.version() != want.version()) {
			return fmt.Sprintf("%s: state of %s: got %+v, want %+v", n.identity.ID, other.identity.ID, *got.member, *want)
		}
	}

	return ""
}

// stableWindow is the time for which all nodes must agree to count as settled,
// since lists that flap can agree for a moment.
const stableWindow = 5 * time.Second

// settle runs until all nodes have agreed for stableWindow, and returns the time
// until they agreed. If they do not agree within d, it also returns the
// difference.
func (m *simulation) settle(d time.Duration) (time.Duration, string) {
	begun := m.now()
	agreed := begun

	for m.now().Sub(begun) < d+stableWindow {
		m.run(500 * time.Millisecond)

		if m.disagreement() != "" {
			agreed = m.now()
		} else if m.now().Sub(agreed) >= stableWindow {
			return agreed.Sub(begun), ""
		}
	}

	return d, "not settled: " + m.disagreement()
}
