package topology

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

const (
	// uplinkTimeout is how long one that is told waits for a word of the other before it takes
	// it for silent: a lost word or two at the pace of words, and far less than rules may
	// be old.
	uplinkTimeout = 700 * time.Millisecond
	// relayTimeout is the same between relays, which tell more others at a slower pace: a
	// relay that is replaced for one lost word moves what leaders keep.
	relayTimeout = 1500 * time.Millisecond
	// subscriptionTTL is how long a member that said nothing more is still told.
	subscriptionTTL = 1500 * time.Millisecond
	// maxUplinkCandidates is how many relays a member turns to while none has answered.
	maxUplinkCandidates = 3
	// silentRelayRetryDelay is how long an assigned relay that did not answer is passed over.
	silentRelayRetryDelay = 3 * time.Second
	// stallThreshold is a pause between two rounds of words after which this instance itself may
	// have been the silent one.
	stallThreshold = 500 * time.Millisecond
	// minKnownShare is the part of the instances known here that another has to know to be
	// believed who leads.
	minKnownShare = 0.8
	// maxEntriesPerMember is how much is remembered of one member at most: when it was
	// heard, and that it is silent.
	maxEntriesPerMember = 2
	// viewTTL is how long it counts who leads as another names it: that is said several
	// times a second, and all that lead may be lost at once.
	viewTTL = 3 * time.Second
)

// Relation is what two instances are to each other in a message.
type Relation int

const (
	// FromRelay messages are those of a relay to one that turned to it.
	FromRelay Relation = iota
	// BetweenRelays messages are those of a relay to another.
	BetweenRelays
	// ToRelay messages are those of an instance to the relay that it turned to.
	ToRelay
)

// Plan says whom an instance tells, as far as it knows now.
type Plan struct {
	// Relay tells that this instance is a relay, and FullMesh that all are.
	Relay, FullMesh bool
	// Relays are the other relays where this one is one. Else they are the relays that it
	// turned to, the first of which counts what it tells.
	Relays []Member
	// Subscribers are the members that turned to this instance.
	Subscribers []Member
	// Leaders lead, in the order in which they are asked.
	Leaders []fleet.InstanceID
	// InstanceCount is how many instances there are.
	InstanceCount int
}

// Relation returns what a message of this instance to another is.
func (p *Plan) Relation(to fleet.InstanceID) Relation {
	switch {
	case !p.Relay:
		return ToRelay
	case slices.ContainsFunc(p.Subscribers, func(m Member) bool { return m.ID == to }):
		return FromRelay
	default:
		return BetweenRelays
	}
}

// Peers returns all that this instance tells.
func (p *Plan) Peers() []Member {
	return slices.Concat(p.Relays, p.Subscribers)
}

// IsLeader tells whether an instance leads.
func (p *Plan) IsLeader(id fleet.InstanceID) bool { return slices.Contains(p.Leaders, id) }

// LeaderRank returns the place of an instance among those that lead, or -1.
func (p *Plan) LeaderRank(id fleet.InstanceID) int { return slices.Index(p.Leaders, id) }

// IsFirstLeader tells whether an instance is the first of those that lead.
func (p *Plan) IsFirstLeader(id fleet.InstanceID) bool {
	return len(p.Leaders) > 0 && p.Leaders[0] == id
}

// Links remembers who was heard directly. Its exported fields are set before its first
// use; it is safe for concurrent use.
type Links struct {
	Self Member

	mu sync.Mutex
	// lastReceived is when each was last lastReceived, and awaitedSince since when it has been told without
	// being lastReceived.
	lastReceived, awaitedSince map[fleet.InstanceID]time.Time
	// silentSince are those that did not answer, and since when. gone are those that have announced
	// their stop.
	silentSince map[fleet.InstanceID]time.Time
	stopped     map[fleet.InstanceID]bool
	// subscribers are the members that turned to this instance, and otherRelays those that told
	// it as one relay tells another, with when they last did.
	subscribers, otherRelays map[fleet.InstanceID]seenMember
	// uplink is the relay that answers this instance where it is none, and uplinkCount how
	// many instances it knows of.
	uplink              fleet.InstanceID
	uplinkInstanceCount int
	// views are the leaders as those that lead, and the uplink, name them. leading are those
	// of the last plan, and count the instances that it knew.
	views         map[fleet.InstanceID]view
	lastLeaders   []fleet.InstanceID
	instanceCount int
	// assignedRelays are the relays as a directory names them; nil means that they follow from the
	// members.
	assignedRelays []Member
	// groupSizes are how many instances other relays stand for, themselves included.
	groupSizes map[fleet.InstanceID]int
	// stopping tells that this instance neither relays nor leads any more.
	stopping bool
	// addressedAsRelayAt is when another relay last told this instance as a relay.
	addressedAsRelayAt time.Time
	// lastPlanAt is when Plan was last called, and anyReceivedAt when any other was heard.
	lastPlanAt, anyReceivedAt time.Time
}

type seenMember struct {
	member Member
	at     time.Time
}

// view is who leads as another instance knew it at a time.
type view struct {
	leaders []fleet.InstanceID
	at      time.Time
}

// MessageReceived takes in that a member was heard directly, and what it takes this instance for.
func (l *Links) MessageReceived(now time.Time, m Member, as Relation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()

	l.lastReceived[m.ID], l.anyReceivedAt = now, now
	delete(l.awaitedSince, m.ID)
	delete(l.silentSince, m.ID)
	delete(l.stopped, m.ID)

	delete(l.subscribers, m.ID)
	delete(l.otherRelays, m.ID)

	switch as {
	case BetweenRelays:
		l.otherRelays[m.ID], l.addressedAsRelayAt = seenMember{member: m, at: now}, now
	case ToRelay:
		l.subscribers[m.ID] = seenMember{member: m, at: now}
	case FromRelay:
	}
}

// RecordRead takes in that a member has written a record lately: it may answer again.
func (l *Links) RecordRead(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silentSince, id)
	delete(l.stopped, id)
}

// PeerStopped takes in that a member stops.
func (l *Links) PeerStopped(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()

	l.stopped[id] = true

	delete(l.subscribers, id)
	delete(l.otherRelays, id)
	delete(l.views, id)
	delete(l.groupSizes, id)
}

// StepDown makes this instance neither relay nor lead, so that others take its place while it
// can still answer.
func (l *Links) StepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// AssignRelays sets the relays that a directory names. Without any, they follow from the members.
func (l *Links) AssignRelays(relays []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assignedRelays = relays
}

// GroupSizeReported takes in how many instances another relay stands for, itself included.
func (l *Links) GroupSizeReported(from fleet.InstanceID, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.groupSizes[from] = size
}

// LeadersReported takes in which instances lead as another one knows it, of count that it knows: one
// that leads itself, or the relay that this one turned to. One that has just started knows
// few and names itself; it is passed over.
func (l *Links) LeadersReported(now time.Time, from fleet.InstanceID, leaders []fleet.InstanceID, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.init()

	if from == l.uplink {
		l.uplinkInstanceCount = count
	}

	if float64(count) < minKnownShare*float64(l.instanceCount) || from != l.uplink && !slices.Contains(leaders, from) {
		delete(l.views, from)

		return
	}

	l.views[from] = view{leaders: leaders, at: now}
}

// Reachable reports whether a message of an instance was received within the patience between
// relays.
func (l *Links) Reachable(now time.Time, id fleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	at, ok := l.lastReceived[id]

	return ok && now.Sub(at) <= relayTimeout
}

// Connected tells whether this instance hears what others tell.
func (l *Links) Connected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.anyReceivedAt) <= relayTimeout
}

// Plan returns whom to tell now, of the members that are known. What it returns is told
// until the next call: who does not answer is silent.
func (l *Links) Plan(now time.Time, members []Member) *Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.resetAfterStall(now)

	if l.assignedRelays != nil {
		members = l.assignedRelays
		l.retrySilentRelays(now)
	}

	l.evictNonMembers(members)

	count := l.countInstances(members)
	fullMesh := l.assignedRelays == nil && count <= FullMeshMax
	eligible := !l.stopping && (l.assignedRelays == nil || slices.ContainsFunc(l.assignedRelays, l.isSelf))
	responds := func(id fleet.InstanceID) bool { return l.silentSince[id].IsZero() && !l.stopped[id] }
	responding := l.relaysAmong(l.ranked(members, eligible, responds))

	if len(responding) == 0 && l.assignedRelays == nil {
		responding = []Member{l.Self}
	}

	relays := responding
	if fullMesh {
		// Few instances go on sharing limits while one of them stops.
		relays = l.ranked(members, true, func(fleet.InstanceID) bool { return true })
	}

	plan := &Plan{FullMesh: fullMesh, InstanceCount: count}
	// Others may have found sooner that this instance takes the place of a silent relay.
	plan.Relay = fullMesh || slices.ContainsFunc(relays, l.isSelf) || !l.stopping && now.Sub(l.addressedAsRelayAt) <= subscriptionTTL
	plan.Leaders = l.chooseLeaders(now, members, responding, func() []Member {
		return l.ranked(members, eligible, func(id fleet.InstanceID) bool {
			return responds(id) || !fullMesh && !l.lastReceived[id].IsZero() && !l.stopped[id]
		})
	})
	l.lastLeaders, l.instanceCount = plan.Leaders, count
	plan.Relays = l.chooseRelays(now, plan, relays)
	plan.Subscribers = l.activeMembers(now, l.subscribers, plan.Relays)

	return plan
}

// chooseRelays returns the relays that this instance sends to: the others where it is one.
func (l *Links) chooseRelays(now time.Time, plan *Plan, relays []Member) []Member {
	if !plan.Relay {
		return l.chooseUplink(now, PreferredRelays(l.Self, relays))
	}

	others := slices.DeleteFunc(slices.Clone(relays), l.isSelf)
	if plan.FullMesh {
		return others
	}

	l.uplink = ""
	l.awaitAll(now, others, relayTimeout)

	return append(others, l.activeMembers(now, l.otherRelays, others)...)
}

// countInstances returns how many instances there are: those that are known where an instance knows
// them all, and otherwise what the relays stand for.
func (l *Links) countInstances(members []Member) int {
	count := 1

	if l.assignedRelays != nil {
		if l.uplink != "" {
			return max(l.uplinkInstanceCount, count)
		}

		count += len(l.subscribers)
	}

	for _, m := range members {
		switch {
		case l.isSelf(m):
		case l.assignedRelays == nil:
			count++
		case l.silentSince[m.ID].IsZero() && !l.stopped[m.ID]:
			count += max(l.groupSizes[m.ID], 1)
		}
	}

	return count
}

// relaysAmong returns the relays among ranked members.
func (l *Links) relaysAmong(ranked []Member) []Member {
	if l.assignedRelays != nil {
		return ranked
	}

	return RelaysOf(ranked)
}

// GroupSizes returns how many instances this one stands for as a relay, by failure domain, and
// those among them that turned to it.
func (l *Links) GroupSizes(now time.Time) (map[fleet.FailureDomain]int, []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()

	subscribers := l.activeMembers(now, l.subscribers, nil)
	sizes := map[fleet.FailureDomain]int{l.Self.Domain: 1}

	for _, m := range subscribers {
		sizes[m.Domain]++
	}

	return sizes, subscribers
}

// resetAfterStall forgives all who did not answer where this instance itself told nobody for a
// while, as after it stood still.
func (l *Links) resetAfterStall(now time.Time) {
	if now.Sub(l.lastPlanAt) > stallThreshold {
		clear(l.awaitedSince)
	}

	l.lastPlanAt = now
}

// retrySilentRelays has relays asked again that did not answer for a while, or all of them where none
// answers: no record of an assigned relay shows that it may answer again.
func (l *Links) retrySilentRelays(now time.Time) {
	noneResponds := !slices.ContainsFunc(l.assignedRelays, func(m Member) bool {
		return !l.isSelf(m) && l.silentSince[m.ID].IsZero() && !l.stopped[m.ID]
	})

	maps.DeleteFunc(l.silentSince, func(_ fleet.InstanceID, since time.Time) bool {
		return noneResponds || now.Sub(since) > silentRelayRetryDelay
	})
}

// evictNonMembers drops what is remembered of instances that are no members, once that is more
// than of those that are: instances are replaced for as long as this one runs.
func (l *Links) evictNonMembers(members []Member) {
	if len(l.lastReceived)+len(l.silentSince)+len(l.stopped) <= maxEntriesPerMember*(len(members)+1) {
		return
	}

	known := make(map[fleet.InstanceID]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
	}

	maps.DeleteFunc(l.lastReceived, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.awaitedSince, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.silentSince, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.stopped, func(id fleet.InstanceID, _ bool) bool { return !known[id] })
	maps.DeleteFunc(l.views, func(id fleet.InstanceID, _ view) bool { return !known[id] })
	maps.DeleteFunc(l.groupSizes, func(id fleet.InstanceID, _ int) bool { return !known[id] })
}

// ranked returns the members that fit, and this one if it takes part, in their rank.
func (l *Links) ranked(members []Member, includeSelf bool, include func(fleet.InstanceID) bool) []Member {
	ranked := make([]Member, 0, len(members)+1)

	for _, m := range members {
		if m.ID != l.Self.ID && include(m.ID) {
			ranked = append(ranked, m)
		}
	}

	if includeSelf {
		ranked = append(ranked, l.Self)
	}

	return Rank(ranked)
}

func (l *Links) isSelf(m Member) bool { return m.ID == l.Self.ID }

// chooseLeaders returns who leads, as the first in rank of those that lead names them: instances
// learn at different times which members come and go, and by the newest view alone each would
// take those of two chooseLeaders in turn. One that turned to a relay goes by that alone. Without any
// view the relays that answer lead.
func (l *Links) chooseLeaders(now time.Time, members, responding []Member, knownMembers func() []Member) []fleet.InstanceID {
	maps.DeleteFunc(l.views, func(_ fleet.InstanceID, v view) bool { return now.Sub(v.at) > viewTTL })

	if v, ok := l.views[l.uplink]; ok && !slices.Contains(v.leaders, l.Self.ID) {
		return v.leaders
	}

	var named []Member

	for _, m := range members {
		if v, ok := l.views[m.ID]; ok && m.ID != l.Self.ID && slices.Contains(v.leaders, m.ID) {
			named = append(named, m)
		}
	}

	own := l.ownView(knownMembers)
	if own != nil {
		named = append(named, l.Self)
	}

	if len(named) > 0 {
		if highest := Rank(named)[0]; highest.ID != l.Self.ID {
			return l.views[highest.ID].leaders
		}

		return own
	}

	return leadersOf(responding)
}

// ownView returns who leads by what this instance knows, where it leads itself. One that was
// heard before and is silent now is dropped only once it writes no records either, since what
// it keeps must not be kept twice. An instance leads once others name it, and gives way where
// one of those that lead with it names others.
func (l *Links) ownView(knownMembers func() []Member) []fleet.InstanceID {
	named := slices.Contains(l.lastLeaders, l.Self.ID)
	for _, v := range l.views {
		named = named || slices.Contains(v.leaders, l.Self.ID)
	}

	if !named {
		return nil
	}

	own := leadersOf(l.relaysAmong(knownMembers()))
	if !slices.Contains(own, l.Self.ID) {
		return nil
	}

	for _, id := range own {
		if v, ok := l.views[id]; ok && !slices.Contains(v.leaders, l.Self.ID) {
			return nil
		}
	}

	return own
}

func (l *Links) init() {
	if l.lastReceived == nil {
		l.lastReceived = make(map[fleet.InstanceID]time.Time)
		l.awaitedSince = make(map[fleet.InstanceID]time.Time)
		l.silentSince = make(map[fleet.InstanceID]time.Time)
		l.stopped = make(map[fleet.InstanceID]bool)
		l.subscribers = make(map[fleet.InstanceID]seenMember)
		l.otherRelays = make(map[fleet.InstanceID]seenMember)
		l.views = make(map[fleet.InstanceID]view)
		l.groupSizes = make(map[fleet.InstanceID]int)
	}
}

// chooseUplink keeps to a relay that answers while it is preferred, and turns to the
// next ones that are not known to be silent otherwise.
func (l *Links) chooseUplink(now time.Time, relays []Member) []Member {
	for _, m := range relays {
		if now.Sub(l.lastReceived[m.ID]) > uplinkTimeout {
			continue
		}

		// One of the domain's relays answers. It is kept to, also if another that is
		// preferred comes back.
		if m.ID == l.uplink || l.uplink == "" || !l.uplinkResponds(now, relays) {
			l.uplink = m.ID
			l.await(now, m.ID, uplinkTimeout)

			return []Member{m}
		}
	}

	l.uplink = ""
	chosen := relays[:min(maxUplinkCandidates, len(relays))]
	l.awaitAll(now, chosen, uplinkTimeout)

	return slices.Clone(chosen)
}

// uplinkResponds tells whether the uplink is one of some relays and uplinkResponds.
func (l *Links) uplinkResponds(now time.Time, relays []Member) bool {
	return now.Sub(l.lastReceived[l.uplink]) <= uplinkTimeout &&
		slices.ContainsFunc(relays, func(m Member) bool { return m.ID == l.uplink })
}

func (l *Links) awaitAll(now time.Time, members []Member, timeout time.Duration) {
	for _, m := range members {
		l.await(now, m.ID, timeout)
	}
}

// await notes that a member is told, and that it is silent if it has not been heard since.
func (l *Links) await(now time.Time, id fleet.InstanceID, timeout time.Duration) {
	since, ok := l.awaitedSince[id]

	switch {
	case !ok:
		l.awaitedSince[id] = now
	case now.Sub(since) > timeout:
		l.silentSince[id] = now

		delete(l.awaitedSince, id)
	}
}

// activeMembers returns those that were heard of late and are not told already.
func (l *Links) activeMembers(now time.Time, seen map[fleet.InstanceID]seenMember, exclude []Member) []Member {
	var members []Member

	for id, h := range seen {
		if now.Sub(h.at) > subscriptionTTL {
			delete(seen, id)

			continue
		}

		if !slices.ContainsFunc(exclude, func(m Member) bool { return m.ID == id }) {
			members = append(members, h.member)
		}
	}

	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })

	return members
}
