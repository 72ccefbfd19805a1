package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/peer"
	"monsoonlever/provider"
)

const (
	// inboxLength is the maximum number of received messages that wait to be
	// handled.
	inboxLength = 1024
	// batchLength is the maximum number of messages handled before a new view is
	// published.
	batchLength = 64
	// defaultListInterval is the time between reads of the instance list.
	defaultListInterval = 30 * time.Second
	// flushTimeout bounds the time to write the last messages on shutdown.
	flushTimeout = time.Second
)

var (
	// ErrSuperseded is returned by Run when a later incarnation of the instance
	// exists.
	ErrSuperseded = merry.Sentinel("a later incarnation of this instance runs")
	// ErrNoNode is returned by Register for a group without a node or clock.
	ErrNoNode = merry.Sentinel("group has no node or clock")
)

// Group drives a Core over a peer.Node. The exported fields must be set before
// Register, and Register must be called before the node's Run.
type Group struct {
	// Node sends and receives the messages; the member has its ID, incarnation,
	// failure domain and address.
	Node *peer.Node
	// Clock is the source of the current time and of timers.
	Clock clock.Clock
	// Region is the node's region.
	Region fleet.Region
	// Seeds are the configured peer addresses to join through.
	Seeds []string
	// List is the platform's instance list, whose addresses are used like Seeds;
	// nil for none.
	List provider.InstanceList
	// Locate returns the peer address of a listed entry instance, and false
	// for other instances. It is required with a List.
	Locate func(provider.Listing) (string, bool)
	// ListInterval is the time between reads of List; 0 means 30 s.
	ListInterval time.Duration
	// Config holds the timing.
	Config Config

	core   *Core
	send   func(Outgoing) error
	inbox  chan receivedMessage
	wake   chan struct{}
	view   atomic.Pointer[View]
	joined atomic.Bool

	// viewStale reports whether the core has changes that the view lacks.
	viewStale bool

	mu              sync.Mutex
	commands        ownerCommands
	listedAddresses []string
}

// receivedMessage is a message with its verified sender.
type receivedMessage struct {
	from    Source
	message Message
}

// View returns the current member list. It never blocks.
func (g *Group) View() *View {
	return g.view.Load()
}

// Joined reports whether the node has synced the member list with another
// member. It stays false for a node without other members.
func (g *Group) Joined() bool {
	return g.joined.Load()
}

// Isolated reports whether addresses of other members are configured or listed and
// the node has not yet synced the member list with any of them.
func (g *Group) Isolated() bool {
	if g.Joined() {
		return false
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	isOther := func(address string) bool { return address != g.Node.Advertise }

	return slices.ContainsFunc(g.Seeds, isOther) || slices.ContainsFunc(g.listedAddresses, isOther)
}

// Run participates in the group until ctx ends, and then announces that the node
// has left; the node must run until Run has returned. It returns ErrSuperseded
// when a later incarnation of the instance exists.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	tasks := conc.NewWaitGroup()

	defer tasks.Wait()
	defer cancel()

	if g.List != nil {
		tasks.Go(func() { g.pollInstanceList(ctx) })
	}

	tick := g.Clock.After(0)

	for {
		select {
		case <-ctx.Done():
			g.announceLeft()

			return nil
		case a := <-g.inbox:
			g.handleBatch(a)
		case <-g.wake:
			g.handleCommands()
		case <-tick:
			tick = g.Clock.After(TickInterval)
			g.execute(g.core.Tick(g.Clock.Now()))
			g.publishView()
		}

		if incarnation, superseded := g.core.Superseded(); superseded {
			klog.InfoS("superseded by a later incarnation of this instance", "incarnation", incarnation)

			return ErrSuperseded
		}
	}
}

// handleBatch handles a message and those waiting in the inbox, at most
// batchLength in all, and publishes one view for them.
func (g *Group) handleBatch(a receivedMessage) {
	for range batchLength {
		g.execute(g.core.Receive(g.Clock.Now(), a.from, a.message))

		select {
		case a = <-g.inbox:
			continue
		default:
		}

		break
	}

	g.publishView()
}

// announceLeft announces that the node has left and waits up to flushTimeout
// for the messages to be written.
func (g *Group) announceLeft() {
	g.execute(g.core.Depart(g.Clock.Now()))
	g.publishView()

	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()

	g.Node.Flush(ctx)
}

// execute sends the messages of a step and records its changes.
func (g *Group) execute(step Step) {
	for _, c := range step.changes {
		g.viewStale = true
		recordChange(c)
	}

	for _, o := range step.messages {
		if err := g.send(o); err != nil {
			failedSends.Inc()
		}
	}
}

// publishView replaces the view if the member list has changed.
func (g *Group) publishView() {
	g.joined.Store(g.core.Joined())

	if !g.viewStale {
		return
	}

	g.viewStale = false
	old := g.view.Swap(g.core.View())
	close(old.changed)
}
