package usage

import (
	"testing"
	"time"

	"monsoonlever/fleet"
)

var policy = Policy{
	Width: 5 * time.Second, SettleDelay: 2 * time.Second, MemberTimeout: 6 * time.Second, ReportTTL: 10 * time.Second,
}

// at returns the given number of seconds after the start of window 200.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func count(n int) []Count {
	return []Count{{Window: 200, Account: "a", Requests: n}}
}

func TestReportWaitsForAllMembers(t *testing.T) {
	l := NewLedger(policy, at(0))
	l.AddCounts(at(5.5), "entry-1", 1, count(3))
	l.AddCounts(at(4.5), "entry-2", 1, count(4))

	members := []fleet.InstanceID{"entry-1", "entry-2"}
	due := func(now time.Time) []Report {
		var found []Report

		for _, r := range l.Due(now, members) {
			if r.Window == 200 {
				found = append(found, r)
			}
		}

		return found
	}

	if got := due(at(6.9)); len(got) != 0 {
		t.Errorf("before counts have settled: got %v, want none", got)
	}

	if got := due(at(8)); len(got) != 0 {
		t.Errorf("without counts of entry-2 after the window: got %v, want none", got)
	}

	l.AddCounts(at(8.1), "entry-2", 1, count(5))

	got := due(at(8.2))
	if len(got) != 1 || got[0].Counts["a"] != 8 {
		t.Errorf("with all counts: got %v, want 8 of a", got)
	}
}

func TestReportIsDueAfterMemberTimeout(t *testing.T) {
	l := NewLedger(policy, at(0))
	l.AddCounts(at(5.5), "entry-1", 1, count(3))

	found := 0

	for _, r := range l.Due(at(11.1), []fleet.InstanceID{"entry-1", "frozen"}) {
		if r.Window == 200 {
			found = r.Counts["a"]
		}
	}

	if found != 3 {
		t.Errorf("without a silent member: got %d, want 3", found)
	}

	for _, r := range l.Due(at(15.1), []fleet.InstanceID{"entry-1"}) {
		if r.Window == 200 {
			t.Error("after it expired: got the report, want none")
		}
	}
}

// An older message that arrives after a newer one holds lower counts.
func TestReorderedCountsNeverDecrease(t *testing.T) {
	l := NewLedger(policy, at(0))
	l.AddCounts(at(6), "entry-1", 1, count(9))
	l.AddCounts(at(6.1), "entry-1", 1, count(4))

	for _, r := range l.Due(at(8), []fleet.InstanceID{"entry-1"}) {
		if r.Window == 200 && r.Counts["a"] != 9 {
			t.Errorf("after an older message arrived last: got %d, want 9", r.Counts["a"])
		}
	}
}

// Windows may be shorter than the interval between messages with counts.
func TestCountsAreReturnedForRetention(t *testing.T) {
	now := at(0.5)
	c := &Counter{Width: time.Second, Retention: 6 * time.Second, Now: func() time.Time { return now }}
	c.RequestStarted("a")

	now = at(6.9)
	if got := c.Recent(); len(got) != 1 || got[0].Requests != 1 {
		t.Errorf("6.4s later: got %v, want the count", got)
	}

	now = at(8)
	if got := c.Recent(); len(got) != 0 {
		t.Errorf("7.5s later: got %v, want none", got)
	}
}

func TestRestartedInstanceAddsToEarlierCounts(t *testing.T) {
	l := NewLedger(policy, at(0))
	l.AddCounts(at(1), "entry-1", 1, count(3))
	l.AddCounts(at(1), "entry-1", 1, count(3))
	l.AddCounts(at(2), "entry-1", 2, count(4))

	if got := l.sum(200)["a"]; got != 7 {
		t.Errorf("sum: got %d, want 7", got)
	}
}

func TestFirstFinalizedReportWins(t *testing.T) {
	l := NewLedger(policy, at(0))
	l.Finalize(Report{Window: 200, Counts: map[fleet.Account]int{"a": 3}})
	l.Finalize(Report{Window: 200, Counts: map[fleet.Account]int{"a": 4}})

	got := l.Unsent(at(8))
	if len(got) != 1 || got[0].Counts["a"] != 3 {
		t.Errorf("to send: got %v, want 3 of a", got)
	}

	l.MarkSent(200)

	if got := l.Unsent(at(8)); len(got) != 0 {
		t.Errorf("after it was accepted: got %v, want none", got)
	}
}
