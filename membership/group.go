package membership

import (
	"context"
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
	// inboxLength bounds what was received and not yet handled.
	inboxLength = 1024
	// batchLength bounds how many messages are handled before a new view.
	batchLength = 64
	// defaultListInterval is the time between looks at the platform's list.
	defaultListInterval = 30 * time.Second
	// flushTimeout bounds the time in which the last messages are written.
	flushTimeout = time.Second
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
	List provider.InstanceList
	// Locate returns the peer address of a listed entry instance, and false
	// for other instances. It is needed with a List.
	Locate func(provider.Listing) (string, bool)
	// ListInterval is the time between looks at the list; 0 means 30 s.
	ListInterval time.Duration
	// Config holds the timing.
	Config Config

	core   *Core
	send   func(Outgoing) error
	inbox  chan receivedMessage
	wake   chan struct{}
	view   atomic.Pointer[View]
	joined atomic.Bool

	// viewStale says that the view misses a change.
	viewStale bool

	mu     sync.Mutex
	commands ownerCommands
	listedAddresses []string
}

// receivedMessage is a message that was received.
type receivedMessage struct {
	from    Source
	message Message
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

// Run takes part in the group until ctx ends, and then announces that the node
// has left; the node must run until Run has returned. It returns ErrSuperseded
// when a later process has taken the node's place.
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
			klog.InfoS("later incarnation of this instance found", "incarnation", incarnation)

			return ErrSuperseded
		}
	}
}

// handleBatch handles what waits, up to a bound, and publishes one view.
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

// announceLeft announces the end and gives the messages time to be written.
func (g *Group) announceLeft() {
	g.execute(g.core.Depart(g.Clock.Now()))
	g.publishView()

	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()

	g.Node.Flush(ctx)
}

// execute carries out a step.
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

// publishView replaces the view when something has changed.
func (g *Group) publishView() {
	g.joined.Store(g.core.Joined())

	if !g.viewStale {
		return
	}

	g.viewStale = false
	old := g.view.Swap(g.core.View())
	close(old.changed)
}
