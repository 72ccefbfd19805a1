package burn

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/refusal"
)

// Recorder counts the finished requests of one instance. Its fields are set
// before the first use.
type Recorder struct {
	// Instance is this instance.
	Instance fleet.InstanceID
	// Reasons are the reasons of refusals that are told apart; the default is
	// the codes of refusals.
	Reasons []string
	// MaxSeries bounds memory, at some 10 KB a series. What comes after that
	// is counted under the account and kind "other".
	MaxSeries int

	table atomic.Pointer[seriesTable]

	mu         sync.Mutex
	objectives []Objective
	costs      []ServiceCost
	from       time.Time
}

// seriesTable is replaced as a whole and never changed.
type seriesTable struct {
	series  map[key]*series
	reasons map[string]int
}

const (
	defaultMaxSeries = 1000
	other            = "other"
)

// Configure puts objectives in force. It may be called again at any time; what
// was counted stays.
func (r *Recorder) Configure(now time.Time, objectives []Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.objectives = slices.Clone(objectives)

	for i := range r.objectives {
		if r.objectives[i].Part <= 0 {
			r.objectives[i].Part = defaultPart
		}
	}

	if t := r.table.Load(); t != nil {
		for k, s := range t.series {
			s.objective.Store(find(r.objectives, k))
		}

		return
	}

	r.from = now
	r.table.Store(r.firstTable())
}

func (r *Recorder) firstTable() *seriesTable {
	if r.MaxSeries <= 0 {
		r.MaxSeries = defaultMaxSeries
	}

	if r.Reasons == nil {
		for _, code := range refusal.Codes() {
			r.Reasons = append(r.Reasons, string(code))
		}
	}

	r.Reasons = append(slices.Sorted(slices.Values(r.Reasons)), other)
	t := &seriesTable{series: make(map[key]*series), reasons: make(map[string]int, len(r.Reasons))}

	for i, name := range r.Reasons {
		t.reasons[name] = i
	}

	return t
}

// Record counts one finished request. It takes no memory and no lock but for
// the first request of a service, account and kind. Before Configure it does
// nothing.
func (r *Recorder) Record(now time.Time, o Observation) {
	t := r.table.Load()
	if t == nil {
		return
	}

	k := key{service: o.Service, account: o.Account, kind: o.Kind}
	s := t.series[k]

	if s == nil {
		s = r.add(k)
	}

	reason, known := t.reasons[o.Reason]
	if !known {
		reason = len(s.reasons) - 1
	}

	s.record(now, &o, reason)
}

// add makes a series, or returns the one for what has no room.
func (r *Recorder) add(k key) *series {
	r.mu.Lock()
	defer r.mu.Unlock()

	old := r.table.Load()

	if len(old.series) >= r.MaxSeries {
		k = key{service: k.service, account: other, kind: other}
	}

	if s := old.series[k]; s != nil {
		return s
	}

	s := newSeries(k, find(r.objectives, k), len(r.Reasons))
	next := &seriesTable{series: make(map[key]*series, len(old.series)+1), reasons: old.reasons}

	for k, s := range old.series {
		next.series[k] = s
	}

	next.series[k] = s
	r.table.Store(next)

	return s
}

// AddCost counts what was spent on the backend servers of a service. Only one
// instance of a deployment may count it.
func (r *Recorder) AddCost(service fleet.Service, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.costs = mergeCosts(r.costs, []ServiceCost{{Service: service, Cost: cost}})
}

// Snapshot returns what was counted until now.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := Snapshot{
		Instances: []fleet.InstanceID{r.Instance},
		From:      r.from.UTC(),
		At:        now.UTC(),
		Series:    []Series{},
		Costs:     slices.Clone(r.costs),
	}

	if t := r.table.Load(); t != nil {
		for _, s := range t.series {
			out.Series = append(out.Series, s.snapshot(now, r.Reasons))
		}
	}

	out.sort()

	return out
}
