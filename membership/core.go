package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Core is the membership state machine of one node. The exported fields must be
// set before the first step. It is not safe for concurrent use.
type Core struct {
	// Self is the node's own identity.
	Self Identity
	// Config holds the timing.
	Config Config
	// Random is the source of every random choice.
	Random *rand.Rand

	started    bool
	stopped    bool
	superseded fleet.Incarnation
	joined     bool
	now        time.Time
	lastTick   time.Time
	step       Step
	config     Config

	table        table
	broadcasts   broadcasts
	gossipBytes  tokenBucket
	syncBytes    tokenBucket
	live         liveMembers
	liveOutdated bool

	lastProbeNumber uint32
	probe           *probe
	probeAt         time.Time
	probeRotation   rotation
	gossipRotation  rotation
	relayedProbes   []relayedProbe
	suspects        []fleet.InstanceID
	healthPenalty   int
	gossipAt        time.Time
	syncAt          time.Time
	seedAt          time.Time
	seedIndex       int
	deadContactAt   time.Time
	deadIndex       int
	fastSyncRounds  int
	seeds           []string
	regions         []*regionState
	bridgeProbeAt   time.Time
	bridgeIndex     int
	bridgeSyncAt    time.Time
	evictAt         time.Time
	pending         pendingPayload
}

// beginStep starts a step at now. The first call initializes the core.
func (c *Core) beginStep(now time.Time) {
	c.now = now
	c.step = Step{}

	if c.started {
		return
	}

	c.started = true
	c.config = c.Config.withDefaults()
	c.table.put(&Member{identity: c.Self})
	c.broadcasts.add(c.Self.ID, partsAll, classJoin)
	c.liveOutdated = true
	c.probeAt = now.Add(c.jitter(c.config.ProbeInterval))
	c.gossipAt = now.Add(c.jitter(c.config.GossipInterval))
	c.syncAt = now
	c.seedAt = now
	c.deadContactAt = now.Add(c.jitter(c.config.SeedInterval))
	c.fastSyncRounds = maxFastSyncRounds
	c.seedIndex = c.Random.IntN(math.MaxInt32)
	c.deadIndex = c.Random.IntN(math.MaxInt32)
	c.bridgeProbeAt = now.Add(c.jitter(c.config.BridgeInterval))
	c.bridgeSyncAt = now.Add(c.jitter(c.config.SyncInterval))
	c.evictAt = now.Add(time.Minute)
}

// Tick expires timeouts and sends the probes, gossip and sync requests that are
// due. Group calls it every TickInterval.
func (c *Core) Tick(now time.Time) Step {
	c.beginStep(now)

	if c.stopped {
		return c.step
	}

	c.handlePause()
	c.lastTick = now
	c.expireProbe()
	c.expireSuspicions()
	c.expireRegions()
	c.refreshLiveMembers()
	c.publishPendingPayload()
	c.startProbe()
	c.probeBridge()
	c.startSyncs()
	c.sendGossip()
	c.evictExpired()

	return c.step
}

// Receive handles a message from a verified source.
func (c *Core) Receive(now time.Time, from Source, message Message) Step {
	c.beginStep(now)

	if c.stopped || from.ID == c.Self.ID {
		return c.step
	}

	c.handlePause()

	if c.rejectOutdated(from) {
		return c.step
	}

	c.mergeAll(message)
	c.refreshLiveMembers()
	c.handle(from, message)

	return c.step
}

func (c *Core) handle(from Source, message Message) {
	switch m := message.(type) {
	case *Probe:
		c.answerProbe(from, m)
	case *Ack:
		c.handleAck(from, m)
	case *IndirectProbe:
		c.relayProbe(from, m)
	case *SyncRequest:
		c.handleSyncRequest(from, m)
	case *SyncResponse:
		c.handleSyncResponse(from, m)
	}
}

// Discover replaces the addresses to join through: the configured seeds and the
// addresses of the platform's instance list.
func (c *Core) Discover(now time.Time, addresses []string) {
	c.beginStep(now)
	c.seeds = slices.Clone(addresses)
}

// Leave announces that the node drains. It cannot be undone.
func (c *Core) Leave(now time.Time) Step {
	return c.announce(now, Leaving)
}

// Depart announces that the node has left, and stops the core.
func (c *Core) Depart(now time.Time) Step {
	step := c.announce(now, Left)
	c.stopped = true

	return step
}

// announce advances the node's own phase and sends the update to some members
// immediately.
func (c *Core) announce(now time.Time, phase Phase) Step {
	c.beginStep(now)

	self := c.self()
	if c.stopped || self.phase >= phase {
		return c.step
	}

	changed := *self
	changed.phase = phase
	changed.revision++
	c.store(&changed, 0, classState)
	c.refreshLiveMembers()

	receivers := append(c.pickRandom(c.live.locals, leaveFanout, ""), c.pickRandom(c.live.bridges, leaveFanout/2, "")...)
	for _, m := range receivers {
		c.send(m, &Gossip{Updates: c.piggyback(m)})
	}

	return c.step
}

// Superseded returns the later incarnation of the node's instance, and whether
// there is one. A superseded core has stopped permanently.
func (c *Core) Superseded() (fleet.Incarnation, bool) {
	return c.superseded, c.superseded != 0
}

// Joined reports whether the core has synced the member list with another member,
// or has used up maxFastSyncRounds while the lists kept changing.
func (c *Core) Joined() bool {
	return c.joined
}

func (c *Core) self() *Member {
	return c.table.get(c.Self.ID).member
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.Random.Int64N(int64(d)))
}

// withJitter returns a random duration within a tenth of d.
func (c *Core) withJitter(d time.Duration) time.Duration {
	return d*9/10 + c.jitter(d/5)
}

func (c *Core) send(to *Member, message Message) {
	c.sendTo(Destination{id: to.identity.ID, address: to.identity.Address}, message)
}

func (c *Core) sendTo(to Destination, message Message) {
	c.step.messages = append(c.step.messages, Outgoing{to: to, message: message})
}

func (c *Core) reply(to Source, message Message) {
	c.sendTo(Destination{id: to.ID, address: to.Address}, message)
}

// pickRandom returns up to n distinct random members of list, without the
// member except.
func (c *Core) pickRandom(list []*Member, n int, except fleet.InstanceID) []*Member {
	var picked []*Member

	draws := c.drawIndexes(len(list), n)
	for _, at := range draws {
		if len(picked) == n {
			break
		}

		m := list[at]
		if m.identity.ID != except && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}

	return picked
}

// drawIndexes returns random indexes into a list of the given size: a permutation
// of all indexes for a short list, else 2n indexes that may repeat, which cost
// less than a shuffle.
func (c *Core) drawIndexes(size, n int) []int {
	if size <= 4*n {
		return c.Random.Perm(size)
	}

	draws := make([]int, 2*n)
	for i := range draws {
		draws[i] = c.Random.IntN(size)
	}

	return draws
}

// logRegionSize returns the natural logarithm of n+1 for the n live members of the
// node's region.
func (c *Core) logRegionSize() float64 {
	return math.Log(float64(len(c.live.locals) + 2))
}
