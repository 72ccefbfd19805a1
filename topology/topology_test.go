package topology

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("entry-", i)) }

// fleetOf returns n members that are distributed over the failure domains in turn.
func fleetOf(n, domains int) []Member {
	members := make([]Member, 0, n)

	for i := range n {
		members = append(members, Member{
			ID: instanceID(i), Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%domains)), Cores: 0.2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600),
		})
	}

	return members
}

func planOf(self Member, members []Member) *Plan {
	return (&Links{Self: self}).Plan(begin, members)
}

func TestAllInstancesComputeSameLeaders(t *testing.T) {
	if plan := planOf(Member{ID: "entry-3"}, nil); !plan.IsLeader("entry-3") {
		t.Error("no members known: got not leader, want leader")
	}

	members := fleetOf(40, 4)
	want := planOf(members[0], members).Leaders

	if len(want) != maxLeaders {
		t.Errorf("leaders: got %d, want %d", len(want), maxLeaders)
	}

	slices.Reverse(members)

	for _, self := range members {
		if got := planOf(self, members).Leaders; !slices.Equal(got, want) {
			t.Errorf("leaders computed by %s: got %v, want %v", self.ID, got, want)
		}
	}
}

func TestLeadersSpreadOverFailureDomains(t *testing.T) {
	members := fleetOf(60, 6)

	domains := make(map[fleet.FailureDomain]int)
	for _, m := range members {
		if planOf(members[0], members).IsLeader(m.ID) {
			domains[m.Domain]++
		}
	}

	if len(domains) != maxLeaders {
		t.Errorf("failure domains with leaders: got %v, want %d with one leader each", domains, maxLeaders)
	}
}

func TestLargestInstanceIsFirstLeader(t *testing.T) {
	members := fleetOf(60, 6)
	members[17].Cores = 0.8

	if got := planOf(members[3], members).Leaders; got[0] != members[17].ID {
		t.Errorf("leaders: got %v, want the largest instance %s first", got, members[17].ID)
	}
}

func TestLeaderCountIsIndependentOfFailureDomains(t *testing.T) {
	for domains := range 8 {
		members := fleetOf(40, domains+1)
		if got := len(planOf(members[0], members).Leaders); got != maxLeaders {
			t.Errorf("%d failure domains: got %d leaders, want %d", domains+1, got, maxLeaders)
		}
	}
}

func TestFewInstancesFormFullMesh(t *testing.T) {
	members := fleetOf(FullMeshMax, 4)

	for _, self := range members {
		plan := planOf(self, members)
		if !plan.Relay || len(plan.Relays) != FullMeshMax-1 {
			t.Errorf("%s: got relay %t with %d peers, want a full mesh", self.ID, plan.Relay, len(plan.Relays))
		}
	}
}

func TestManyInstancesUseFewRelays(t *testing.T) {
	for _, tt := range []struct{ instances, domains, relays int }{{13, 4, 8}, {80, 4, 8}, {195, 6, 12}, {410, 5, 25}} {
		members := fleetOf(tt.instances, tt.domains)
		relays := 0

		for _, self := range members {
			plan := planOf(self, members)
			if plan.Relay {
				relays++
			} else if got := plan.Relays[0]; got.Domain != self.Domain {
				t.Errorf("%s in %s: got a relay in %s, want a relay in its own domain", self.ID, self.Domain, got.Domain)
			}
		}

		if relays != tt.relays {
			t.Errorf("relays of %d instances: got %d, want %d", tt.instances, relays, tt.relays)
		}
	}
}

// In a large fleet an instance that stops is neither relay nor leader while it can still
// respond. In a full mesh it stays a relay.
func TestStoppingLeaderIsReplacedImmediately(t *testing.T) {
	members := fleetOf(80, 4)
	leader := planOf(members[0], members).Leaders[0]
	self := members[slices.IndexFunc(members, func(m Member) bool { return m.ID == leader })]

	l := &Links{Self: self}
	l.StepDown()

	if plan := l.Plan(begin, members); plan.Relay || plan.IsLeader(leader) || len(plan.Leaders) != maxLeaders {
		t.Errorf("plan of the stopping leader: got relay %t, leaders %v, want others as leaders", plan.Relay, plan.Leaders)
	}

	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == leader })
	if got := planOf(others[0], others).Leaders; slices.Contains(got, leader) || len(got) != maxLeaders {
		t.Errorf("plan of another instance: got %v, want five leaders without %s", got, leader)
	}

	fullMesh := fleetOf(FullMeshMax, 4)
	l = &Links{Self: fullMesh[0]}
	l.StepDown()

	if plan := l.Plan(begin, fullMesh); !plan.Relay || len(plan.Relays) != FullMeshMax-1 {
		t.Errorf("stopping instance of a full mesh: got relay %t with %d peers, want all", plan.Relay, len(plan.Relays))
	}
}

// In a full mesh an instance that stops still shares the limits, but must neither lead nor
// grant.
func TestStoppedPeerInFullMeshIsNoLeader(t *testing.T) {
	fullMesh := fleetOf(4, 2)
	leader := planOf(fullMesh[0], fullMesh).Leaders[0]
	other := fullMesh[slices.IndexFunc(fullMesh, func(m Member) bool { return m.ID != leader })]

	l := &Links{Self: other}
	l.Plan(begin, fullMesh)
	l.PeerStopped(leader)

	plan := l.Plan(begin, fullMesh)
	if plan.IsLeader(leader) || len(plan.Relays) != len(fullMesh)-1 {
		t.Errorf("got leaders %v and %d relays, want %s as relay but not as leader", plan.Leaders, len(plan.Relays), leader)
	}
}

// Guards against entries of removed instances that accumulate: instances are replaced for as
// long as one runs.
func TestLinksEvictRemovedMembers(t *testing.T) {
	members := fleetOf(80, 4)
	l := &Links{Self: members[0]}
	now := begin

	for round := range 100 {
		for i := range members[1:] {
			members[i+1].ID = fleet.InstanceID(fmt.Sprint("entry-", round, "-", i))
			l.MessageReceived(now, members[i+1], ToRelay)
			l.PeerStopped(members[i+1].ID)
		}

		l.Plan(now, members)
	}

	if got, most := len(l.lastReceived)+len(l.silentSince), maxEntriesPerMember*(len(members)+1); got > most {
		t.Errorf("entries: got %d, want at most %d", got, most)
	}
}

// An instance that has just started knows only itself and names itself as leader.
func TestViewOfStartingInstanceIsIgnored(t *testing.T) {
	members := fleetOf(80, 4)
	want := planOf(members[0], members).Leaders
	self := members[slices.IndexFunc(members, func(m Member) bool { return !slices.Contains(want, m.ID) })]
	l := &Links{Self: self}
	l.Plan(begin, members)

	starting := []fleet.InstanceID{members[79].ID}
	l.LeadersReported(begin, members[79].ID, starting, 1)

	if got := l.Plan(begin, members).Leaders; !slices.Equal(got, want) {
		t.Errorf("leaders after a view of an instance that knows only itself: got %v, want %v", got, want)
	}

	l.LeadersReported(begin, members[79].ID, starting, 80)

	if got := l.Plan(begin, members).Leaders; !slices.Equal(got, starting) {
		t.Errorf("leaders after a view of an instance that knows all: got %v, want %v", got, starting)
	}
}

// Guards against an instance that alternates between the views of two leaders.
func TestConflictingViewsResolveByRank(t *testing.T) {
	members := fleetOf(9, 4)
	all := planOf(members[0], members).Leaders
	self := members[slices.IndexFunc(members, func(m Member) bool { return !slices.Contains(all, m.ID) })]
	views := [][]fleet.InstanceID{all, append([]fleet.InstanceID{all[1]}, all[3:]...)}

	l := &Links{Self: self}

	for round := range 6 {
		from := views[round%2][0]
		l.LeadersReported(begin, from, views[round%2], len(members))

		if got := l.Plan(begin, members).Leaders; !slices.Equal(got, all) {
			t.Fatalf("after a view of %s: got %v, want the view of the highest-ranked leader, %v", from, got, all)
		}
	}

	later := begin.Add(viewTTL + time.Second)
	l.LeadersReported(later, all[1], views[1], len(members))

	if got := l.Plan(later, members).Leaders; !slices.Equal(got, views[1]) {
		t.Errorf("after the view of the highest-ranked leader expired: got %v, want %v", got, views[1])
	}
}

// Two sets of leaders that made each other yield would leave no leader.
func TestLeaderYieldsOnlyToCoLeaders(t *testing.T) {
	members := fleetOf(80, 4)
	leaders := planOf(members[0], members).Leaders
	self := members[slices.IndexFunc(members, func(m Member) bool { return m.ID == leaders[0] })]
	outsider := members[slices.IndexFunc(members, func(m Member) bool { return !slices.Contains(leaders, m.ID) })].ID

	l := &Links{Self: self}
	l.Plan(begin, members)
	l.LeadersReported(begin, outsider, []fleet.InstanceID{outsider}, 80)

	if !l.Plan(begin, members).IsLeader(self.ID) {
		t.Error("after a view of an outsider without it: got not leader, want leader")
	}

	others := append(slices.Clone(leaders[1:]), outsider)
	l.LeadersReported(begin, leaders[1], others, 80)

	if got := l.Plan(begin, members).Leaders; !slices.Equal(got, others) {
		t.Errorf("after a view of a co-leader without it: got %v, want %v", got, others)
	}
}
