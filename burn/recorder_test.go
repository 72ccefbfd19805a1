package burn

import (
	"reflect"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func testObjectives() []Objective {
	return []Objective{
		{Service: "ledger-llm", Whole: time.Second, Part: 0.9},
		{Service: "ledger-llm", Kind: "reconcile", FirstToken: 500 * time.Millisecond, Part: 0.95},
		{Service: "ledger-llm", Account: "wholesale-1", Kind: "reconcile", FirstToken: time.Second, Part: 0.99},
	}
}

func newRecorder(id fleet.InstanceID) *Recorder {
	r := &Recorder{Instance: id}
	r.Configure(start, testObjectives())

	return r
}

func TestObjectiveOfAKey(t *testing.T) {
	tests := []struct {
		desc string
		key  key
		want float64
	}{
		{desc: "of the service", key: key{"ledger-llm", "wholesale-2", "draft"}, want: 0.9},
		{desc: "of the kind", key: key{"ledger-llm", "wholesale-2", "reconcile"}, want: 0.95},
		{desc: "of the account and kind", key: key{"ledger-llm", "wholesale-1", "reconcile"}, want: 0.99},
		{desc: "of none", key: key{"payrun-api", "wholesale-1", "status"}, want: defaultPart},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := find(testObjectives(), tt.key).Part; got != tt.want {
				t.Errorf("part: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestWindowsForget(t *testing.T) {
	r := newRecorder("entry-1")
	r.Record(start, Observation{Service: "payrun-api", Outcome: Failed})

	tests := []struct {
		desc string
		at   time.Duration
		want []uint64
	}{
		{desc: "at once", at: 0, want: []uint64{1, 1, 1, 1}},
		{desc: "after ten minutes", at: 10 * time.Minute, want: []uint64{0, 1, 1, 1}},
		{desc: "after two hours", at: 2 * time.Hour, want: []uint64{0, 0, 1, 1}},
		{desc: "after a day", at: day, want: []uint64{0, 0, 0, 1}},
		{desc: "after four days", at: 4 * day, want: []uint64{0, 0, 0, 0}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var got []uint64
			for _, w := range r.Snapshot(start.Add(tt.at)).Series[0].Windows {
				got = append(got, w.Requests)
			}

			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("requests by window: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestRecordTakesNoMemory(t *testing.T) {
	r := newRecorder("entry-1")
	o := Observation{Service: "ledger-llm", Account: "wholesale-1", Kind: "reconcile", Whole: time.Second}
	now := start

	got := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Second)
		r.Record(now, o)
	})

	if got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}

func TestRecordConcurrently(t *testing.T) {
	const workers, each = 8, 1000

	r := newRecorder("entry-1")

	var wg conc.WaitGroup

	for i := range workers {
		wg.Go(func() {
			for j := range each {
				account := fleet.Account(rune('a' + (i+j)%5))
				r.Record(start.Add(time.Duration(j)*time.Second), Observation{Service: "ledger-llm", Account: account})
			}
		})
	}

	wg.Wait()

	got := uint64(0)
	for _, s := range r.Snapshot(start.Add(each * time.Second)).Series {
		got += s.Answered
	}

	if want := uint64(workers * each); got != want {
		t.Errorf("answered: got %d, want %d", got, want)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	r := &Recorder{MaxSeries: 2}
	r.Configure(start, nil)

	for _, account := range []fleet.Account{"a", "b", "c", "d"} {
		r.Record(start, Observation{Service: "ledger-llm", Account: account})
	}

	s := r.Snapshot(start).Series
	if got, want := len(s), 3; got != want {
		t.Fatalf("series: got %d, want %d", got, want)
	}

	if got, want := s[2].Answered, uint64(2); s[2].Account != other || got != want {
		t.Errorf("series of %s: got %d, want %d of %s", s[2].Account, got, want, other)
	}
}

func drawObservation(t *rapid.T) Observation {
	return Observation{
		Service:          rapid.SampledFrom([]fleet.Service{"ledger-llm", "payrun-api"}).Draw(t, "service"),
		Account:          rapid.SampledFrom([]fleet.Account{"wholesale-1", "wholesale-2"}).Draw(t, "account"),
		Kind:             rapid.SampledFrom([]fleet.CallKind{"reconcile", "draft"}).Draw(t, "kind"),
		Outcome:          Outcome(rapid.IntRange(int(Answered), int(Failed)).Draw(t, "outcome")),
		Reason:           rapid.SampledFrom([]string{"overloaded", "limitExceeded", "unheardOf"}).Draw(t, "reason"),
		Excused:          rapid.Bool().Draw(t, "excused"),
		FirstToken:       time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond,
		Whole:            time.Duration(rapid.IntRange(0, 5000).Draw(t, "whole")) * time.Millisecond,
		Tokens:           rapid.IntRange(0, 100).Draw(t, "tokens"),
		RecomputedTokens: rapid.IntRange(0, 10).Draw(t, "recomputed"),
	}
}

// TestHoldsMergeIsSum compares instances that share the load with one that has
// all of it.
func TestHoldsMergeIsSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := newRecorder("entry-1")
		parts := []*Recorder{newRecorder("entry-1"), newRecorder("entry-2"), newRecorder("entry-3")}
		now := start

		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pass")) * time.Second)
			o := drawObservation(t)
			one.Record(now, o)
			parts[rapid.IntRange(0, len(parts)-1).Draw(t, "instance")].Record(now, o)
		}

		var snapshots []Snapshot
		for _, p := range parts {
			snapshots = append(snapshots, p.Snapshot(now))
		}

		got, want := NewReport(Merge(snapshots...)), NewReport(Merge(one.Snapshot(now)))
		got.Instances, want.Instances = nil, nil

		for _, r := range []*Report{&got, &want} {
			for i := range r.Rows {
				r.Rows[i].Reasons = reasonsSorted(r.Rows[i].Reasons)
			}

			for i := range r.Services {
				r.Services[i].Points = pointsSorted(r.Services[i].Points)
			}
		}

		if !reflect.DeepEqual(got, want) {
			t.Fatalf("report of the parts: got %+v, want %+v", got, want)
		}
	})
}

// TestHoldsQuantile compares percentiles with those of the durations themselves.
func TestHoldsQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h histogram

		n := rapid.IntRange(1, 200).Draw(t, "n")
		all := make([]time.Duration, n)

		for i := range all {
			all[i] = time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "duration"))
			h.record(all[i])
		}

		want := exactQuantile(all, 0.95)
		got := quantile(h.counts(), 0.95)

		if got < want || float64(got) > float64(want)*(1+2.0/histogramSub)+float64(histogramUnit) {
			t.Fatalf("95th percentile: got %v, want %v within a bucket", got, want)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := newRecorder("entry-1")
	o := Observation{
		Service: "ledger-llm", Account: "wholesale-1", Kind: "reconcile",
		FirstToken: 300 * time.Millisecond, BetweenTokens: 40 * time.Millisecond, Whole: 3 * time.Second, Tokens: 200,
	}
	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		r.Record(start.Add(time.Duration(i)*time.Microsecond), o)
	}
}
