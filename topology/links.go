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
	// uplinkTimeout is how long an instance waits for a message from a relay that it sends to
	// before it takes the relay for silent. It allows for one or two lost messages, and is far
	// shorter than the age that rules may reach.
	uplinkTimeout = 700 * time.Millisecond
	// relayTimeout is the same between relays, which send to more peers at a slower pace.
	// Replacing a relay after one lost message would move the state that leaders hold.
	relayTimeout = 1500 * time.Millisecond
	// subscriptionTTL is how long this instance keeps sending to a member after the member's
	// last message.
	subscriptionTTL = 1500 * time.Millisecond
	// maxUplinkCandidates is how many relays a member tries at the same time while none has
	// responded.
	maxUplinkCandidates = 3
	// silentRelayRetryDelay is how long an assigned relay that did not respond is skipped.
	silentRelayRetryDelay = 3 * time.Second
	// stallThreshold is the pause between two calls of Plan after which missing messages may be
	// due to this instance, which sent none itself.
	stallThreshold = 500 * time.Millisecond
	// minKnownShare is the share of the instances known here that another instance has to know
	// before its view of the leaders is accepted.
	minKnownShare = 0.8
	// maxEntriesPerMember bounds the stored entries per member: the time of its last message,
	// and its mark as silent.
	maxEntriesPerMember = 2
	// viewTTL is how long another instance's view of the leaders stays valid. Views are sent
	// several times a second, and all leaders may be lost at the same time.
	viewTTL = 3 * time.Second
)

// Relation is the relation between sender and receiver that a message is sent under.
type Relation int

const (
	// FromRelay messages go from a relay to one of its subscribers.
	FromRelay Relation = iota
	// BetweenRelays messages go from one relay to another.
	BetweenRelays
	// ToRelay messages go from an instance to a relay that it uses or tries as its uplink.
	ToRelay
)

// Plan is the set of peers that an instance sends to, and the leaders as it currently knows
// them.
type Plan struct {
	// Relay reports that this instance is a relay, and FullMesh that all instances are.
	Relay, FullMesh bool
	// Relays are the other relays if this instance is a relay. Otherwise they are its uplink,
	// or the relays that it tries as uplink; state updates go to the first of them.
	Relays []Member
	// Subscribers are the members that use this instance as their relay.
	Subscribers []Member
	// Leaders are the leaders in the order in which requests are sent to them.
	Leaders []fleet.InstanceID
	// InstanceCount is the estimated number of instances, including this one.
	InstanceCount int
}

// Relation returns the relation that messages of this instance to another are sent under.
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

// Peers returns all members that this instance sends to.
func (p *Plan) Peers() []Member {
	return slices.Concat(p.Relays, p.Subscribers)
}

// IsLeader reports whether an instance is a leader.
func (p *Plan) IsLeader(id fleet.InstanceID) bool { return slices.Contains(p.Leaders, id) }

// LeaderRank returns the index of an instance among the leaders, or -1.
func (p *Plan) LeaderRank(id fleet.InstanceID) int { return slices.Index(p.Leaders, id) }

// IsFirstLeader reports whether an instance is the first of the leaders.
func (p *Plan) IsFirstLeader(id fleet.InstanceID) bool {
	return len(p.Leaders) > 0 && p.Leaders[0] == id
}

// Links tracks which instances messages were received from and chooses relays and leaders
// accordingly. Its exported fields are set before its first use; it is safe for concurrent use.
type Links struct {
	Self Member

	mu sync.Mutex
	// lastReceived is when the last message of each instance was received. awaitedSince is when
	// this instance began to send to an instance of which no message has been received since.
	lastReceived, awaitedSince map[fleet.InstanceID]time.Time
	// silentSince is when each instance that did not respond was marked as silent. stopped are
	// the instances that announced their stop.
	silentSince map[fleet.InstanceID]time.Time
	stopped     map[fleet.InstanceID]bool
	// subscribers are the senders of ToRelay messages and otherRelays those of BetweenRelays
	// messages, each with the time of the last message.
	subscribers, otherRelays map[fleet.InstanceID]seenMember
	// uplink is the relay that this instance is subscribed to, empty if there is none.
	// uplinkInstanceCount is the number of instances that the uplink reported.
	uplink              fleet.InstanceID
	uplinkInstanceCount int
	// views are the leaders as reported by each leader and by the uplink. lastLeaders and
	// instanceCount are those of the last plan.
	views         map[fleet.InstanceID]view
	lastLeaders   []fleet.InstanceID
	instanceCount int
	// assignedRelays are the relays that a directory names; nil means that they are computed
	// from the members.
	assignedRelays []Member
	// groupSizes is the number of instances in the group of each other relay: the relay and its
	// subscribers.
	groupSizes map[fleet.InstanceID]int
	// stopping is set once this instance should be neither relay nor leader.
	stopping bool
	// addressedAsRelayAt is when a BetweenRelays message was last received.
	addressedAsRelayAt time.Time
	// lastPlanAt is when Plan was last called, and anyReceivedAt when the last message of any
	// instance was received.
	lastPlanAt, anyReceivedAt time.Time
}

// seenMember is a member with the time of its last message.
type seenMember struct {
	member Member
	at     time.Time
}

// view is the set of leaders that another instance reported, with the time of the report.
type view struct {
	leaders []fleet.InstanceID
	at      time.Time
}

// MessageReceived records a message that came directly from a member, and the relation that the
// member sent it under.
func (l *Links) MessageReceived(now time.Time, m Member, relation Relation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()

	l.lastReceived[m.ID], l.anyReceivedAt = now, now
	delete(l.awaitedSince, m.ID)
	delete(l.silentSince, m.ID)
	delete(l.stopped, m.ID)

	delete(l.subscribers, m.ID)
	delete(l.otherRelays, m.ID)

	switch relation {
	case BetweenRelays:
		l.otherRelays[m.ID], l.addressedAsRelayAt = seenMember{member: m, at: now}, now
	case ToRelay:
		l.subscribers[m.ID] = seenMember{member: m, at: now}
	case FromRelay:
	}
}

// RecordRead clears the marks of a member as silent or stopped after a recent record of it was
// read: it may respond again.
func (l *Links) RecordRead(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silentSince, id)
	delete(l.stopped, id)
}

// PeerStopped records that a member announced its stop.
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

// StepDown makes this instance neither relay nor leader, so that others take over while it can
// still respond. In a full mesh it remains a relay.
func (l *Links) StepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// AssignRelays sets the relays that a directory names. With nil they are computed from the
// members.
func (l *Links) AssignRelays(relays []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assignedRelays = relays
}

// GroupSizeReported records the number of instances in the group of another relay, the relay
// included.
func (l *Links) GroupSizeReported(from fleet.InstanceID, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.groupSizes[from] = size
}

// LeadersReported records the leaders that another instance reported, and the number of
// instances that it knows. It accepts the view of the uplink, and of an instance that is a
// leader in its own view. It rejects the view of an instance that knows too few others, because
// an instance that has just started names itself. A rejected report also discards the sender's
// earlier view.
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

// Reachable reports whether a message of an instance was received within relayTimeout.
func (l *Links) Reachable(now time.Time, id fleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	at, ok := l.lastReceived[id]

	return ok && now.Sub(at) <= relayTimeout
}

// Connected reports whether a message of any instance was received within relayTimeout.
func (l *Links) Connected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.anyReceivedAt) <= relayTimeout
}

// Plan returns the peers to send to, given the known members. The caller sends to them until
// the next call: Plan marks a peer as silent that does not respond within the timeout of its
// link.
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
		// In a full mesh an instance that stops keeps its share of the limits until it has
		// stopped.
		relays = l.ranked(members, true, func(fleet.InstanceID) bool { return true })
	}

	plan := &Plan{FullMesh: fullMesh, InstanceCount: count}
	// Other relays may have detected before this instance that it replaces a silent relay.
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

// chooseRelays returns the relays that this instance sends to: all other relays if it is a
// relay, otherwise its uplink or the relays that it tries as uplink.
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

// countInstances returns the number of instances. Without assigned relays all members are known
// and counted. With assigned relays it is the number that the uplink reported or, without an
// uplink, the sum of the group sizes of the relays that respond.
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

// relaysAmong returns the relays among ranked members. Assigned relays are relays already.
func (l *Links) relaysAmong(ranked []Member) []Member {
	if l.assignedRelays != nil {
		return ranked
	}

	return RelaysOf(ranked)
}

// GroupSizes returns the number of instances in the group of this instance as a relay, itself
// included, by failure domain, and its subscribers.
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

// resetAfterStall restarts the wait for all awaited messages if Plan was not called for longer
// than stallThreshold, as after a pause of the process: this instance sent nothing that others
// could have responded to.
func (l *Links) resetAfterStall(now time.Time) {
	if now.Sub(l.lastPlanAt) > stallThreshold {
		clear(l.awaitedSince)
	}

	l.lastPlanAt = now
}

// retrySilentRelays clears the silent mark of assigned relays after silentRelayRetryDelay, or
// of all relays if none responds. No record of an assigned relay is read that could clear the
// mark.
func (l *Links) retrySilentRelays(now time.Time) {
	noneResponds := !slices.ContainsFunc(l.assignedRelays, func(m Member) bool {
		return !l.isSelf(m) && l.silentSince[m.ID].IsZero() && !l.stopped[m.ID]
	})

	maps.DeleteFunc(l.silentSince, func(_ fleet.InstanceID, since time.Time) bool {
		return noneResponds || now.Sub(since) > silentRelayRetryDelay
	})
}

// evictNonMembers deletes the entries of instances that are no members once there are more than
// maxEntriesPerMember for each member. Instances are replaced for as long as this one runs.
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

// ranked returns the members for which include returns true, and this instance if includeSelf
// is set, in rank order.
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

// chooseLeaders returns the leaders. A subscriber uses the view of its uplink, unless the view
// names the subscriber itself. Otherwise the view of the leader that is first in rank counts:
// instances learn of joining and leaving members at different times, and an instance that
// followed the newest view would alternate between the views of two leaders. Without any view
// the leaders are chosen among the responding relays.
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

// ownView returns the leaders that this instance computes from the members that it knows, or
// nil if it is no leader. Outside a full mesh, an instance that was reachable before and is
// silent now stays a candidate until it writes no records either, because the state that a
// leader holds must not be held twice. This instance becomes a leader once another view names
// it, and yields if one of its co-leaders has a view without it.
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

// chooseUplink returns the current uplink while it responds. Otherwise it chooses the most
// preferred relay that responds or, if none does, returns the first maxUplinkCandidates relays
// to try.
func (l *Links) chooseUplink(now time.Time, relays []Member) []Member {
	for _, m := range relays {
		if now.Sub(l.lastReceived[m.ID]) > uplinkTimeout {
			continue
		}

		// Keep the uplink while it responds, even if a more preferred relay responds again.
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

// uplinkResponds reports whether the uplink is one of the given relays and responds.
func (l *Links) uplinkResponds(now time.Time, relays []Member) bool {
	return now.Sub(l.lastReceived[l.uplink]) <= uplinkTimeout &&
		slices.ContainsFunc(relays, func(m Member) bool { return m.ID == l.uplink })
}

func (l *Links) awaitAll(now time.Time, members []Member, timeout time.Duration) {
	for _, m := range members {
		l.await(now, m.ID, timeout)
	}
}

// await records that this instance sends to a member, and marks the member as silent if no
// message of it was received within timeout.
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

// activeMembers returns the members seen within subscriptionTTL that are not in exclude, sorted
// by ID, and deletes expired entries.
func (l *Links) activeMembers(now time.Time, seen map[fleet.InstanceID]seenMember, exclude []Member) []Member {
	var members []Member

	for id, last := range seen {
		if now.Sub(last.at) > subscriptionTTL {
			delete(seen, id)

			continue
		}

		if !slices.ContainsFunc(exclude, func(m Member) bool { return m.ID == id }) {
			members = append(members, last.member)
		}
	}

	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })

	return members
}
