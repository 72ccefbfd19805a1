package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/membership"
	"monsoonlever/peer"
	"monsoonlever/publication"
	"monsoonlever/routing"
)

const (
	// demandEvery is how often this instance tells the others its demand, several
	// times within the spread that admission counts on.
	demandEvery = 400 * time.Millisecond
	// adoptEvery is how often an instance without a manifest asks another for it.
	adoptEvery = time.Second
	// adoptTimeout bounds one such question.
	adoptTimeout = 2 * time.Second
)

// peers joins this instance with the other entry instances. The exported fields
// of its parts are set before register.
type peers struct {
	clock      clock.Clock
	node       *peer.Node
	group      *membership.Group
	admission  *admission.Controller
	replicator *answer.Replicator
	follower   *publication.Follower
	claims     *claims
	table      *routing.Table
	// heard takes news of a leaving backend server.
	heard func(news LeavingNews)
	// payload returns what this instance says of itself.
	payload func() Payload

	mu      sync.Mutex
	members map[fleet.InstanceID]fleet.Incarnation
}

var _ answer.Sender = (*peers)(nil)

// register registers the handlers of every message between entry instances.
func (p *peers) register() error {
	p.members = make(map[fleet.InstanceID]fleet.Incarnation)
	p.node.Droppable = append(p.node.Droppable, kindDemand)

	peer.Handle(p.node, kindAnswers, func(_ peer.Sender, b answer.Batch) { p.replicator.Receive(&b) })
	peer.Handle(p.node, kindDemand, func(from peer.Sender, d DemandNews) { p.takeDemand(from.ID(), d) })
	peer.Handle(p.node, kindLeaving, func(_ peer.Sender, news LeavingNews) { p.heard(news) })
	peer.HandleCall(p.node, kindManifest, func(context.Context, peer.Sender, ManifestQuestion) (ManifestNews, error) {
		return p.tellManifest()
	})

	return p.group.Register()
}

// run takes part until ctx ends. The node outlives the group, which says goodbye.
func (p *peers) run(ctx context.Context) {
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()

	var node, group conc.WaitGroup

	node.Go(func() {
		if err := p.node.Run(nodeCtx); err != nil {
			klog.ErrorS(err, "peers can't be reached")
		}
	})
	group.Go(func() {
		if err := p.group.Run(ctx); err != nil {
			klog.ErrorS(err, "membership ended")
		}
	})
	group.Go(func() { p.watchMembers(ctx) })
	group.Go(func() { p.tellDemand(ctx) })
	group.Go(func() { p.adoptManifest(ctx) })
	group.Wait()
	stopNode()
	node.Wait()
}

// Send passes a batch of kept answers to another entry instance.
func (p *peers) Send(to fleet.InstanceID, b *answer.Batch) {
	m := p.group.View().Member(to)
	if m == nil {
		return
	}

	// A batch that is lost is sent again.
	_ = p.node.Send(targetOf(m), kindAnswers, b)
}

// tell sends a message to every other live instance. What is lost on the way is
// repeated, or learnt from another source.
func (p *peers) tell(kind peer.Kind, message any) {
	for _, m := range p.others() {
		_ = p.node.Send(targetOf(m), kind, message)
	}
}

// others returns the other live instances.
func (p *peers) others() []*membership.Member {
	var others []*membership.Member

	for _, m := range p.group.View().Live() {
		if m.ID() != p.node.ID {
			others = append(others, m)
		}
	}

	return others
}

func targetOf(m *membership.Member) peer.Target {
	return peer.Target{ID: m.ID(), Address: m.Address()}
}

// tellDemand tells the others this instance's demand on the limits of accounts.
func (p *peers) tellDemand(ctx context.Context) {
	for ctx.Err() == nil {
		p.tellDemandOnce()
		clock.Sleep(ctx, p.clock, demandEvery)
	}
}

func (p *peers) tellDemandOnce() {
	demand := p.admission.PublishDemand(p.clock.Now())
	if demand.Floor == 0 {
		// No limits are in force here yet, so there is nothing to share.
		return
	}

	data, err := demand.Encode()
	if err != nil {
		klog.ErrorS(err, "demand could not be encoded")

		return
	}

	p.tell(kindDemand, DemandNews{Digest: data})
}

func (p *peers) takeDemand(from fleet.InstanceID, news DemandNews) {
	demand, err := admission.DecodeDemand(news.Digest)
	if err != nil {
		return
	}

	p.admission.ApplyDemand(p.clock.Now(), from, demand)
}

// adoptManifest asks others for the manifest in force as long as there is none
// here, as when this instance starts while the log is down.
func (p *peers) adoptManifest(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, adoptEvery)

		if _, known := p.follower.Checkpoint(); known {
			return
		}

		for _, m := range p.others() {
			p.askManifest(ctx, m)
		}
	}
}

func (p *peers) askManifest(parent context.Context, m *membership.Member) {
	ctx, cancel := context.WithTimeout(parent, adoptTimeout)
	defer cancel()

	news, err := peer.Call[ManifestQuestion, ManifestNews](ctx, p.node, targetOf(m), kindManifest, ManifestQuestion{})
	if err != nil || len(news.Checkpoint) == 0 {
		return
	}

	record, err := publication.Decode(news.Checkpoint)
	if err != nil {
		return
	}

	checkpoint, ok := record.(publication.Checkpoint)
	if !ok {
		return
	}

	result := p.follower.Adopt(checkpoint)
	klog.InfoS("manifest asked of another instance", "instance", m.ID(), "outcome", result.Outcome())
}

func (p *peers) tellManifest() (ManifestNews, error) {
	checkpoint, known := p.follower.Checkpoint()
	if !known {
		return ManifestNews{}, nil
	}

	data, err := publication.Encode(checkpoint)

	return ManifestNews{Checkpoint: data}, err
}

// publishPayload tells the others what this instance says of itself now.
func (p *peers) publishPayload() {
	data, err := p.payload().encode()
	if err == nil {
		err = p.group.SetPayload(data, membership.Urgent)
	}

	if err != nil {
		klog.ErrorS(err, "payload could not be set")
	}
}
