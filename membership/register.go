package membership

import (
	"math/rand/v2"

	"monsoonlever/peer"
)

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
		g.enqueue(source, P(&message))
	})
}

// prepare creates the core and the first view, which contains only the node.
func (g *Group) prepare() {
	g.inbox = make(chan receivedMessage, inboxLength)
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

// enqueue queues a received message, and drops it when the inbox is full.
func (g *Group) enqueue(from Source, message Message) {
	select {
	case g.inbox <- receivedMessage{from: from, message: message}:
	default:
		droppedMessages.Inc()
	}
}
