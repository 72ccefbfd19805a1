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
	// patience is how long one that is told waits for a word of the other before it takes
	// it for silent: a lost word or two at the pace of words, and far less than rules may
	// be old.
	patience = 700 * time.Millisecond
	// relayPatience is the same between relays, which tell more others at a slower pace: a
	// relay that is replaced for one lost word moves what leaders keep.
	relayPatience = 1500 * time.Millisecond
	// subscribed is how long a member that said nothing more is still told.
	subscribed = 1500 * time.Millisecond
	// tried is how many relays a member turns to while none has answered.
	tried = 3
	// askAgain is how long an assigned relay that did not answer is passed over.
	askAgain = 3 * time.Second
	// stoodStill is a pause between two rounds of words after which this instance itself may
	// have been the silent one.
	stoodStill = 500 * time.Millisecond
	// knowsEnough is the part of the instances known here that another has to know to be
	// believed who leads.
	knowsEnough = 0.8
	// rememberedPerMember is how much is remembered of one member at most: when it was
	// heard, and that it is silent.
	rememberedPerMember = 2
	// viewLife is how long it counts who leads as another names it: that is said several
	// times a second, and all that lead may be lost at once.
	viewLife = 3 * time.Second
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
	// heard is when each was last heard, and asked since when it has been told without
	// being heard.
	heard, asked map[fleet.InstanceID]time.Time
	// silent are those that did not answer, and since when. gone are those that have announced
	// their stop.
	silent map[fleet.InstanceID]time.Time
	gone   map[fleet.InstanceID]bool
	// subscribers are the members that turned to this instance, and others those that told
	// it as one relay tells another, with when they last did.
	subscribers, others map[fleet.InstanceID]heardMember
	// uplink is the relay that answers this instance where it is none, and uplinkCount how
	// many instances it knows of.
	uplink      fleet.InstanceID
	uplinkCount int
	// views are the leaders as those that lead, and the uplink, name them. leading are those
	// of the last plan, and count the instances that it knew.
	views   map[fleet.InstanceID]view
	leading []fleet.InstanceID
	count   int
	// assigned are the relays as a directory names them; nil means that they follow from the
	// members.
	assigned []Member
	// sizes are how many instances other relays stand for, themselves included.
	sizes map[fleet.InstanceID]int
	// stopping tells that this instance neither relays nor leads any more.
	stopping bool
	// invited is when another relay last told this instance as a relay.
	invited time.Time
	// planned is when Plan was last called, and latest when any other was heard.
	planned, latest time.Time
}

type heardMember struct {
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

	l.heard[m.ID], l.latest = now, now
	delete(l.asked, m.ID)
	delete(l.silent, m.ID)
	delete(l.gone, m.ID)

	delete(l.subscribers, m.ID)
	delete(l.others, m.ID)

	switch as {
	case BetweenRelays:
		l.others[m.ID], l.invited = heardMember{member: m, at: now}, now
	case ToRelay:
		l.subscribers[m.ID] = heardMember{member: m, at: now}
	case FromRelay:
	}
}

// RecordRead takes in that a member has written a record lately: it may answer again.
func (l *Links) RecordRead(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, id)
	delete(l.gone, id)
}

// PeerStopped takes in that a member stops.
func (l *Links) PeerStopped(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()

	l.gone[id] = true

	delete(l.subscribers, id)
	delete(l.others, id)
	delete(l.views, id)
	delete(l.sizes, id)
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
	l.assigned = relays
}

// GroupSizeReported takes in how many instances another relay stands for, itself included.
func (l *Links) GroupSizeReported(from fleet.InstanceID, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.sizes[from] = size
}

// LeadersReported takes in which instances lead as another one knows it, of count that it knows: one
// that leads itself, or the relay that this one turned to. One that has just started knows
// few and names itself; it is passed over.
func (l *Links) LeadersReported(now time.Time, from fleet.InstanceID, leaders []fleet.InstanceID, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.init()

	if from == l.uplink {
		l.uplinkCount = count
	}

	if float64(count) < knowsEnough*float64(l.count) || from != l.uplink && !slices.Contains(leaders, from) {
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

	at, ok := l.heard[id]

	return ok && now.Sub(at) <= relayPatience
}

// Connected tells whether this instance hears what others tell.
func (l *Links) Connected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.latest) <= relayPatience
}

// Plan returns whom to tell now, of the members that are known. What it returns is told
// until the next call: who does not answer is silent.
func (l *Links) Plan(now time.Time, members []Member) *Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.resume(now)

	if l.assigned != nil {
		members = l.assigned
		l.forgive(now)
	}

	l.forget(members)

	count := l.countOf(members)
	few := l.assigned == nil && count <= FullMeshMax
	takesPart := !l.stopping && (l.assigned == nil || slices.ContainsFunc(l.assigned, l.isSelf))
	answers := func(id fleet.InstanceID) bool { return l.silent[id].IsZero() && !l.gone[id] }
	answering := l.relaysAmong(l.ranked(members, takesPart, answers))

	if len(answering) == 0 && l.assigned == nil {
		answering = []Member{l.Self}
	}

	relays := answering
	if few {
		// Few instances go on sharing limits while one of them stops.
		relays = l.ranked(members, true, func(fleet.InstanceID) bool { return true })
	}

	plan := &Plan{FullMesh: few, InstanceCount: count}
	// Others may have found sooner that this instance takes the place of a silent relay.
	plan.Relay = few || slices.ContainsFunc(relays, l.isSelf) || !l.stopping && now.Sub(l.invited) <= subscribed
	plan.Leaders = l.leaders(now, members, answering, func() []Member {
		return l.ranked(members, takesPart, func(id fleet.InstanceID) bool {
			return answers(id) || !few && !l.heard[id].IsZero() && !l.gone[id]
		})
	})
	l.leading, l.count = plan.Leaders, count
	plan.Relays = l.chooseRelays(now, plan, relays)
	plan.Subscribers = l.current(now, l.subscribers, plan.Relays)

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
	l.askAll(now, others, relayPatience)

	return append(others, l.current(now, l.others, others)...)
}

// countOf returns how many instances there are: those that are known where an instance knows
// them all, and otherwise what the relays stand for.
func (l *Links) countOf(members []Member) int {
	count := 1

	if l.assigned != nil {
		if l.uplink != "" {
			return max(l.uplinkCount, count)
		}

		count += len(l.subscribers)
	}

	for _, m := range members {
		switch {
		case l.isSelf(m):
		case l.assigned == nil:
			count++
		case l.silent[m.ID].IsZero() && !l.gone[m.ID]:
			count += max(l.sizes[m.ID], 1)
		}
	}

	return count
}

// relaysAmong returns the relays among ranked members.
func (l *Links) relaysAmong(ranked []Member) []Member {
	if l.assigned != nil {
		return ranked
	}

	return RelaysOf(ranked)
}

// GroupSizes returns how many instances this one stands for as a relay, by failure domain, and
// those among them that turned to it.
func (l *Links) GroupSizes(now time.Time) (map[fleet.FailureDomain]int, []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()

	subscribers := l.current(now, l.subscribers, nil)
	sizes := map[fleet.FailureDomain]int{l.Self.Domain: 1}

	for _, m := range subscribers {
		sizes[m.Domain]++
	}

	return sizes, subscribers
}

// resume forgives all who did not answer where this instance itself told nobody for a
// while, as after it stood still.
func (l *Links) resume(now time.Time) {
	if now.Sub(l.planned) > stoodStill {
		clear(l.asked)
	}

	l.planned = now
}

// forgive has relays asked again that did not answer for a while, or all of them where none
// answers: no record of an assigned relay shows that it may answer again.
func (l *Links) forgive(now time.Time) {
	none := !slices.ContainsFunc(l.assigned, func(m Member) bool {
		return !l.isSelf(m) && l.silent[m.ID].IsZero() && !l.gone[m.ID]
	})

	maps.DeleteFunc(l.silent, func(_ fleet.InstanceID, since time.Time) bool { return none || now.Sub(since) > askAgain })
}

// forget drops what is remembered of instances that are no members, once that is more
// than of those that are: instances are replaced for as long as this one runs.
func (l *Links) forget(members []Member) {
	if len(l.heard)+len(l.silent)+len(l.gone) <= rememberedPerMember*(len(members)+1) {
		return
	}

	known := make(map[fleet.InstanceID]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
	}

	maps.DeleteFunc(l.heard, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.asked, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.silent, func(id fleet.InstanceID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(l.gone, func(id fleet.InstanceID, _ bool) bool { return !known[id] })
	maps.DeleteFunc(l.views, func(id fleet.InstanceID, _ view) bool { return !known[id] })
	maps.DeleteFunc(l.sizes, func(id fleet.InstanceID, _ int) bool { return !known[id] })
}

// ranked returns the members that fit, and this one if it takes part, in their rank.
func (l *Links) ranked(members []Member, self bool, fits func(fleet.InstanceID) bool) []Member {
	ranked := make([]Member, 0, len(members)+1)

	for _, m := range members {
		if m.ID != l.Self.ID && fits(m.ID) {
			ranked = append(ranked, m)
		}
	}

	if self {
		ranked = append(ranked, l.Self)
	}

	return Rank(ranked)
}

func (l *Links) isSelf(m Member) bool { return m.ID == l.Self.ID }

// leaders returns who leads, as the first in rank of those that lead names them: instances
// learn at different times which members come and go, and by the newest view alone each would
// take those of two leaders in turn. One that turned to a relay goes by that alone. Without any
// view the relays that answer lead.
func (l *Links) leaders(now time.Time, members, answering []Member, known func() []Member) []fleet.InstanceID {
	maps.DeleteFunc(l.views, func(_ fleet.InstanceID, v view) bool { return now.Sub(v.at) > viewLife })

	if v, ok := l.views[l.uplink]; ok && !slices.Contains(v.leaders, l.Self.ID) {
		return v.leaders
	}

	var named []Member

	for _, m := range members {
		if v, ok := l.views[m.ID]; ok && m.ID != l.Self.ID && slices.Contains(v.leaders, m.ID) {
			named = append(named, m)
		}
	}

	own := l.ownView(known)
	if own != nil {
		named = append(named, l.Self)
	}

	if len(named) > 0 {
		if first := Rank(named)[0]; first.ID != l.Self.ID {
			return l.views[first.ID].leaders
		}

		return own
	}

	return leadersOf(answering)
}

// ownView returns who leads by what this instance knows, where it leads itself. One that was
// heard before and is silent now is dropped only once it writes no records either, since what
// it keeps must not be kept twice. An instance leads once others name it, and gives way where
// one of those that lead with it names others.
func (l *Links) ownView(known func() []Member) []fleet.InstanceID {
	named := slices.Contains(l.leading, l.Self.ID)
	for _, v := range l.views {
		named = named || slices.Contains(v.leaders, l.Self.ID)
	}

	if !named {
		return nil
	}

	own := leadersOf(l.relaysAmong(known()))
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
	if l.heard == nil {
		l.heard = make(map[fleet.InstanceID]time.Time)
		l.asked = make(map[fleet.InstanceID]time.Time)
		l.silent = make(map[fleet.InstanceID]time.Time)
		l.gone = make(map[fleet.InstanceID]bool)
		l.subscribers = make(map[fleet.InstanceID]heardMember)
		l.others = make(map[fleet.InstanceID]heardMember)
		l.views = make(map[fleet.InstanceID]view)
		l.sizes = make(map[fleet.InstanceID]int)
	}
}

// chooseUplink keeps to a relay that answers while it is preferred, and turns to the
// next ones that are not known to be silent otherwise.
func (l *Links) chooseUplink(now time.Time, relays []Member) []Member {
	for _, m := range relays {
		if now.Sub(l.heard[m.ID]) > patience {
			continue
		}

		// One of the domain's relays answers. It is kept to, also if another that is
		// preferred comes back.
		if m.ID == l.uplink || l.uplink == "" || !l.answers(now, relays) {
			l.uplink = m.ID
			l.ask(now, m.ID, patience)

			return []Member{m}
		}
	}

	l.uplink = ""
	chosen := relays[:min(tried, len(relays))]
	l.askAll(now, chosen, patience)

	return slices.Clone(chosen)
}

// answers tells whether the uplink is one of some relays and answers.
func (l *Links) answers(now time.Time, relays []Member) bool {
	return now.Sub(l.heard[l.uplink]) <= patience &&
		slices.ContainsFunc(relays, func(m Member) bool { return m.ID == l.uplink })
}

func (l *Links) askAll(now time.Time, members []Member, within time.Duration) {
	for _, m := range members {
		l.ask(now, m.ID, within)
	}
}

// ask notes that a member is told, and that it is silent if it has not been heard since.
func (l *Links) ask(now time.Time, id fleet.InstanceID, within time.Duration) {
	since, ok := l.asked[id]

	switch {
	case !ok:
		l.asked[id] = now
	case now.Sub(since) > within:
		l.silent[id] = now

		delete(l.asked, id)
	}
}

// current returns those that were heard of late and are not told already.
func (l *Links) current(now time.Time, heard map[fleet.InstanceID]heardMember, told []Member) []Member {
	var members []Member

	for id, h := range heard {
		if now.Sub(h.at) > subscribed {
			delete(heard, id)

			continue
		}

		if !slices.ContainsFunc(told, func(m Member) bool { return m.ID == id }) {
			members = append(members, h.member)
		}
	}

	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })

	return members
}
