package directory

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

var begin = time.Unix(1_000_000, 0)

func member(domain, i int, cores float64) topology.Member {
	return topology.Member{
		ID: fleet.InstanceID(fmt.Sprint("entry-", domain, "-", i)), Domain: fleet.FailureDomain(fmt.Sprint("domain-", domain)), Cores: cores,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)}), 7600),
	}
}

// fleetOf returns n members that are distributed over the failure domains in turn. One of
// sixteen members of each domain has more cores.
func fleetOf(n, domains int) []topology.Member {
	members := make([]topology.Member, 0, n)

	for i := range n {
		cores := 0.2
		if i/domains%16 == 0 {
			cores = 0.8
		}

		members = append(members, member(i%domains, i, cores))
	}

	return members
}

// reportsOf subscribes each member to a relay of its failure domain, or to any relay if the
// domain has none, and returns the relays' reports.
func reportsOf(relays, members []topology.Member) []Report {
	reports := make([]Report, len(relays))
	for i, r := range relays {
		reports[i] = Report{Relay: r, Sizes: map[fleet.FailureDomain]int{r.Domain: 1}}
	}

	nextRelay := 0

	for _, m := range members {
		if slices.Contains(relays, m) {
			continue
		}

		chosen := nextRelay % len(relays)

		for range relays {
			if relays[chosen].Domain == m.Domain {
				break
			}

			chosen = (chosen + 1) % len(relays)
		}

		nextRelay++
		reports[chosen].Sizes[m.Domain]++

		if len(reports[chosen].Candidates) < 8 {
			reports[chosen].Candidates = append(reports[chosen].Candidates, m)
		}
	}

	return reports
}

// settle runs a planner for 30 rounds and returns the last directory and the number of changes.
func settle(t *testing.T, current *Directory, members []topology.Member) (*Directory, int) {
	t.Helper()

	var planner Planner

	changes := 0

	for round := range 30 {
		now := begin.Add(time.Duration(round) * time.Second)

		for _, r := range reportsOf(current.Relays, members) {
			r.Candidates = topology.Rank(r.Candidates)
			planner.AddReport(now, r)
		}

		if next, changed := planner.Next(now, current); changed {
			current = next
			changes++
		}
	}

	return current, changes
}

func TestFirstDirectoryHasEnoughRelaysPerDomain(t *testing.T) {
	for _, n := range []int{13, 30, 80, 195, 410, 986, 2000} {
		members := fleetOf(n, 6)
		first := members[0]
		sizes := make(map[fleet.FailureDomain]int)

		for _, m := range members {
			sizes[m.Domain]++
		}

		var planner Planner

		planner.AddReport(begin, Report{Relay: first, Sizes: sizes, Candidates: members[1:]})

		got, changed := planner.Next(begin, &Directory{Relays: []topology.Member{first}, Count: 1, Forming: true})
		if !changed || got.Forming || got.Count != n {
			t.Errorf("%d instances: got %d, forming %t, want all of them", n, got.Count, got.Forming)
		}

		for domain, size := range sizes {
			relays := 0

			for _, m := range got.Relays {
				if m.Domain == domain {
					relays++
				}
			}

			if want := topology.TargetRelays(size, len(sizes)); relays != min(want, size) {
				t.Errorf("%d instances, %s: got %d relays, want %d", n, domain, relays, want)
			}
		}

		if large := got.Relays[0].Cores; large != 0.8 {
			t.Errorf("%d instances: got a first relay with %.1f cores, want the largest", n, large)
		}
	}
}

func TestFewInstancesNeedNoRelays(t *testing.T) {
	var planner Planner

	planner.AddReport(begin, Report{Relay: member(0, 0, 1), Sizes: map[fleet.FailureDomain]int{"domain-0": 6}})

	got, changed := planner.Next(begin, &Directory{Count: 1, Forming: true})
	if !changed || !got.FullMesh() || len(got.Relays) != 0 {
		t.Errorf("got %+v, changed %t, want a full mesh without relays", got, changed)
	}
}

func TestDirectoryGrowsWithFleet(t *testing.T) {
	members := fleetOf(986, 6)
	few := members[:100]

	small, _ := settle(t, &Directory{Relays: topology.RelaysOf(topology.Rank(few)), Count: len(few)}, few)

	large, changes := settle(t, small, members)
	if got, want := len(large.Relays), 6*topology.TargetRelays(986/6, 6); got < want || large.Count != len(members) {
		t.Errorf("after growth: got %d relays of %d instances, want %d of %d", got, large.Count, want, len(members))
	}

	if changes > 5 {
		t.Errorf("changes: got %d, want few", changes)
	}
}

func TestSilentRelaysAreReplaced(t *testing.T) {
	members := fleetOf(195, 6)
	current, _ := settle(t, &Directory{Relays: topology.RelaysOf(topology.Rank(members)), Count: len(members)}, members)

	lost := current.Relays[0]
	remaining := slices.DeleteFunc(slices.Clone(members), func(m topology.Member) bool { return m == lost })

	var planner Planner

	for round := range 20 {
		now := begin.Add(time.Duration(round) * time.Second)

		others := slices.DeleteFunc(slices.Clone(current.Relays), func(m topology.Member) bool { return m == lost })
		for _, r := range reportsOf(others, remaining) {
			planner.AddReport(now, r)
		}

		next, changed := planner.Next(now, current)
		if changed {
			current = next
		}

		if now.Sub(begin) < reportTimeout && !current.HasRelay(lost.ID) {
			t.Fatalf("after %v: got the relay replaced, want it retained for %v", now.Sub(begin), reportTimeout)
		}
	}

	if current.HasRelay(lost.ID) {
		t.Error("silent relay: got it retained, want it replaced")
	}
}

// A new leader has received few reports and must not take the missing ones for lost relays.
func TestNewLeaderKeepsRelaysBeforeReports(t *testing.T) {
	members := fleetOf(986, 6)
	current, _ := settle(t, &Directory{Relays: topology.RelaysOf(topology.Rank(members)), Count: len(members)}, members)

	var planner Planner

	for _, after := range []time.Duration{0, time.Second, reportTimeout - time.Millisecond} {
		if next, changed := planner.Next(begin.Add(after), current); changed {
			t.Errorf("after %v without reports: got %d instances and %d relays, want nothing changed", after, next.Count, len(next.Relays))
		}
	}
}

func TestMarshalRoundTrip(t *testing.T) {
	want := &Directory{Relays: fleetOf(20, 3), Count: 400, Forming: true}

	data, err := want.Marshal()
	if err != nil {
		t.Fatal(err)
	}

	got, err := Unmarshal(data)
	if err != nil || got.Count != want.Count || !got.Forming || !slices.Equal(got.Relays, want.Relays) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}

	for _, damaged := range [][]byte{nil, data[:len(data)/2], []byte("\xff")} {
		if _, err := Unmarshal(damaged); err == nil {
			t.Errorf("damaged record %x: got no error, want one", damaged)
		}
	}
}
