package topology

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"monsoonlever/fleet"
)

func instance(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("entry-", i)) }

// fleetOf returns n members in some failure domains, in any order.
func fleetOf(n, domains int) []Member {
	members := make([]Member, 0, n)

	for i := range n {
		members = append(members, Member{
			ID: instance(i), Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%domains)), Cores: 0.2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600),
		})
	}

	return members
}

func planOf(self Member, members []Member) *Plan {
	return (&Links{Self: self}).Plan(begin, members)
}

func TestFewLeadAndAllNameTheSame(t *testing.T) {
	if plan := planOf(Member{ID: "entry-3"}, nil); !plan.Leads("entry-3") {
		t.Error("nobody is known: got no lead, want one")
	}

	members := fleetOf(40, 4)
	want := planOf(members[0], members).Leaders

	if len(want) != leaders {
		t.Errorf("leading: got %d, want %d", len(want), leaders)
	}

	slices.Reverse(members)

	for _, self := range members {
		if got := planOf(self, members).Leaders; !slices.Equal(got, want) {
			t.Errorf("leaders by %s: got %v, want %v", self.ID, got, want)
		}
	}
}

func TestLeadersAreSpreadOverFailureDomains(t *testing.T) {
	members := fleetOf(60, 6)

	domains := make(map[fleet.FailureDomain]int)
	for _, m := range members {
		if planOf(members[0], members).Leads(m.ID) {
			domains[m.Domain]++
		}
	}

	if len(domains) != leaders {
		t.Errorf("failure domains with leaders: got %v, want %d with one each", domains, leaders)
	}
}

func TestLargerInstancesLeadFirst(t *testing.T) {
	members := fleetOf(60, 6)
	members[17].Cores = 0.8

	if got := planOf(members[3], members).Leaders; got[0] != members[17].ID {
		t.Errorf("leaders: got %v, want the larger %s first", got, members[17].ID)
	}
}

func TestEnoughLeadInAnyNumberOfFailureDomains(t *testing.T) {
	for domains := range 8 {
		members := fleetOf(40, domains+1)
		if got := len(planOf(members[0], members).Leaders); got != leaders {
			t.Errorf("%d failure domains: got %d that lead, want %d", domains+1, got, leaders)
		}
	}
}

func TestFewInstancesTellEachOther(t *testing.T) {
	members := fleetOf(Few, 4)

	for _, self := range members {
		plan := planOf(self, members)
		if !plan.Relay || len(plan.Relays) != Few-1 {
			t.Errorf("%s: got relay %t with %d others, want all to tell each other", self.ID, plan.Relay, len(plan.Relays))
		}
	}
}

func TestManyInstancesHaveFewRelays(t *testing.T) {
	for _, tt := range []struct{ instances, domains, relays int }{{13, 4, 8}, {80, 4, 8}, {195, 6, 12}, {410, 5, 25}} {
		members := fleetOf(tt.instances, tt.domains)
		relays := 0

		for _, self := range members {
			plan := planOf(self, members)
			if plan.Relay {
				relays++
			} else if got := plan.Relays[0]; got.Domain != self.Domain {
				t.Errorf("%s in %s: got a relay in %s, want one of its own domain", self.ID, self.Domain, got.Domain)
			}
		}

		if relays != tt.relays {
			t.Errorf("relays of %d instances: got %d, want %d", tt.instances, relays, tt.relays)
		}
	}
}

// One of many that stops neither relays nor leads, while it can still answer; few go on
// telling each other.
func TestAnInstanceThatStopsIsReplacedAtOnce(t *testing.T) {
	members := fleetOf(80, 4)
	leader := planOf(members[0], members).Leaders[0]
	self := members[slices.IndexFunc(members, func(m Member) bool { return m.ID == leader })]

	l := &Links{Self: self}
	l.Stop()

	if plan := l.Plan(begin, members); plan.Relay || plan.Leads(leader) || len(plan.Leaders) != leaders {
		t.Errorf("while it stops: got relay %t, leaders %v, want others to lead", plan.Relay, plan.Leaders)
	}

	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == leader })
	if got := planOf(others[0], others).Leaders; slices.Contains(got, leader) || len(got) != leaders {
		t.Errorf("by others: got %v, want five without %s", got, leader)
	}

	few := fleetOf(Few, 4)
	l = &Links{Self: few[0]}
	l.Stop()

	if plan := l.Plan(begin, few); !plan.Relay || len(plan.Relays) != Few-1 {
		t.Errorf("one of few that stops: got relay %t with %d others, want all", plan.Relay, len(plan.Relays))
	}
}
