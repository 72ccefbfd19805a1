package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/peer"
	"monsoonlever/platform"
)

const (
	// inboxLength bounds what was received and not yet handled.
	inboxLength = 1024
	// batchLength bounds how many messages are handled before a new view.
	batchLength = 64
	// defaultListInterval is the time between looks at the platform's list.
	defaultListInterval = 30 * time.Second
	// departTimeout bounds the time in which the last messages are written.
	departTimeout = time.Second
)

var (
	// ErrSuperseded is returned by Run when a process with the same instance
	// ID and a later incarnation runs.
	ErrSuperseded = merry.Sentinel("a later incarnation of this instance runs")
	// ErrNoNode is returned by Register for a group without a node.
	ErrNoNode = merry.Sentinel("group has no node or clock")
)

// Group drives a Core over a peer.Node. The exported fields are set before
// Register, which comes before the node's Run.
type Group struct {
	// Node carries the messages; its identity is the member's.
	Node *peer.Node
	// Clock tells the time.
	Clock clock.Clock
	// Region is the node's region.
	Region fleet.Region
	// Seeds are addresses to join through.
	Seeds []string
	// List is the platform's list, to join through as well; nil for none.
	List platform.List
	// Locate returns the peer address of a listed entry instance, and false
	// for other instances. It is needed with a List.
	Locate func(platform.Listing) (string, bool)
	// ListInterval is the time between looks at the list; 0 means 30 s.
	ListInterval time.Duration
	// Config holds the timing.
	Config Config

	core   *Core
	send   func(Outgoing) error
	inbox  chan arrival
	wake   chan struct{}
	view   atomic.Pointer[View]
	joined atomic.Bool

	// stale says that the view misses a change.
	stale bool

	mu     sync.Mutex
	orders orders
	listed []string
}

// arrival is a message that was received.
type arrival struct {
	from    Source
	message Message
}

// orders is what the node's owner asked for since the last step.
type orders struct {
	payload  []byte
	set      bool
	urgency  Urgency
	leave    bool
	discover bool
}

// Register prepares the group and registers its handlers with the node.
func (g *Group) Register() error {
	if g.Node == nil || g.Clock == nil {
		return ErrNoNode
	}

	g.prepare()
	g.send = func(o Outgoing) error {
		return g.Node.Send(peer.Target{ID: o.to.id, Address: o.to.address}, kindOf(o.message), o.message)
	}
	g.Node.Droppable = append(g.Node.Droppable, kinds...)

	register[Probe](g, kindProbe)
	register[Ack](g, kindAck)
	register[IndirectProbe](g, kindIndirectProbe)
	register[Gossip](g, kindGossip)
	register[SyncRequest](g, kindSyncRequest)
	register[SyncResponse](g, kindSyncResponse)

	return nil
}

// messagePointer is a *T that is a Message.
type messagePointer[T any] interface {
	*T
	Message
}

func register[T any, P messagePointer[T]](g *Group, kind peer.Kind) {
	peer.Handle(g.Node, kind, func(from peer.Sender, message T) {
		source := Source{ID: from.ID(), Incarnation: from.Incarnation(), Address: from.Address()}
		g.receive(source, P(&message))
	})
}

// prepare makes the core and the first view, which holds the node alone.
func (g *Group) prepare() {
	g.inbox = make(chan arrival, inboxLength)
	g.wake = make(chan struct{}, 1)
	g.core = &Core{
		Self: Identity{
			ID:          g.Node.ID,
			Incarnation: g.Node.Incarnation,
			Region:      g.Region,
			Domain:      g.Node.Domain,
			Address:     g.Node.Advertise,
		},
		Config: g.Config,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.core.Discover(g.Clock.Now(), g.Seeds)
	g.view.Store(g.core.View())
}

// receive queues a message. It is dropped when too many wait already.
func (g *Group) receive(from Source, message Message) {
	select {
	case g.inbox <- arrival{from: from, message: message}:
	default:
		droppedMessages.Inc()
	}
}

// View returns the present member list. It never blocks.
func (g *Group) View() *View {
	return g.view.Load()
}

// Joined reports whether the node has taken over another member's whole list.
// It stays false for a node that is alone.
func (g *Group) Joined() bool {
	return g.joined.Load()
}

// SetPayload replaces the node's payload and returns at once.
func (g *Group) SetPayload(data []byte, urgency Urgency) error {
	if len(data) > MaxPayload {
		return ErrPayloadTooLarge
	}

	g.order(func(o *orders) {
		o.payload = append([]byte(nil), data...)
		o.set = true
		o.urgency = max(o.urgency, urgency)
	})

	return nil
}

// Leave announces that the node drains and takes nothing new. The end of Run
// announces that it has left.
func (g *Group) Leave() {
	g.order(func(o *orders) { o.leave = true })
}

func (g *Group) order(change func(*orders)) {
	g.mu.Lock()
	change(&g.orders)
	g.mu.Unlock()

	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the group until ctx ends, and then announces that the node
// has left; the node must run until Run has returned. It returns ErrSuperseded
// when a later process has taken the node's place.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	tasks := conc.NewWaitGroup()

	defer tasks.Wait()
	defer cancel()

	if g.List != nil {
		tasks.Go(func() { g.followList(ctx) })
	}

	tick := g.Clock.After(0)

	for {
		select {
		case <-ctx.Done():
			g.depart()

			return nil
		case a := <-g.inbox:
			g.handleBatch(a)
		case <-g.wake:
			g.handleOrders()
		case <-tick:
			tick = g.Clock.After(TickInterval)
			g.take(g.core.Tick(g.Clock.Now()))
			g.publish()
		}

		if incarnation, superseded := g.core.Superseded(); superseded {
			klog.InfoS("later incarnation of this instance found", "incarnation", incarnation)

			return ErrSuperseded
		}
	}
}

// handleBatch handles what waits, up to a bound, and publishes one view.
func (g *Group) handleBatch(a arrival) {
	for range batchLength {
		g.take(g.core.Receive(g.Clock.Now(), a.from, a.message))

		select {
		case a = <-g.inbox:
			continue
		default:
		}

		break
	}

	g.publish()
}

func (g *Group) handleOrders() {
	g.mu.Lock()
	o := g.orders
	listed := g.listed
	g.orders = orders{}
	g.mu.Unlock()

	now := g.Clock.Now()

	if o.discover {
		g.core.Discover(now, append(append([]string(nil), g.Seeds...), listed...))
	}

	if o.leave {
		g.take(g.core.Leave(now))
	}

	if o.set {
		step, err := g.core.SetPayload(now, o.payload, o.urgency)
		if err != nil {
			klog.ErrorS(err, "payload refused")
		}

		g.take(step)
	}

	g.publish()
}

// depart announces the end and gives the messages time to be written.
func (g *Group) depart() {
	g.take(g.core.Depart(g.Clock.Now()))
	g.publish()

	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()

	g.Node.Flush(ctx)
}

// take carries out a step.
func (g *Group) take(step Step) {
	for _, c := range step.changes {
		g.stale = true
		note(c)
	}

	for _, o := range step.messages {
		if err := g.send(o); err != nil {
			failedSends.Inc()
		}
	}
}

// publish replaces the view when something has changed.
func (g *Group) publish() {
	g.joined.Store(g.core.Joined())

	if !g.stale {
		return
	}

	g.stale = false
	old := g.view.Swap(g.core.View())
	close(old.changed)
}

// followList looks at the platform's list from time to time.
func (g *Group) followList(ctx context.Context) {
	for {
		g.readList(ctx)

		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(orDefault(g.ListInterval, defaultListInterval)):
		}
	}
}

// readList takes over the addresses of the list. While the list is down the
// last ones stay.
func (g *Group) readList(ctx context.Context) {
	listings, err := g.List.Listings(ctx)
	if err != nil {
		failedListings.Inc()

		return
	}

	var addresses []string

	for _, l := range listings {
		if address, ok := g.Locate(l); ok {
			addresses = append(addresses, address)
		}
	}

	g.mu.Lock()
	g.listed = addresses
	g.mu.Unlock()
	g.order(func(o *orders) { o.discover = true })
}
