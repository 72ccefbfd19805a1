// Package arrivals adds up what arrives at services of model engines over all entry
// instances.
//
// Each instance says what arrives at it alone, to those that plan for all, and a Table keeps
// the newest report of each. Sums are made where they are used and never travel: a sum that
// is passed on and added up again counts instances twice as soon as one of those that pass
// it on changes its role.
//
// # Usage
//
//	var t arrivals.Table
//	t.Record(now, arrivals.Report{Instance: "entry-2", Incarnation: 7, At: 1, Work: work})
//	total := t.Total(now, life, ownWork)
package arrivals

import (
	"maps"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

// Report is what one instance says of itself: of all services, or some of them.
type Report struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	// SentAt is the sender's clock in nanoseconds, which tells the order of its reports.
	SentAt int64
	Work   []scheduling.Work
}

// Table holds the newest reports of each other instance. The zero value is empty; it is safe
// for concurrent use.
type Table struct {
	mu      sync.Mutex
	sources map[fleet.InstanceID]*source
}

// source is one start of an instance.
type source struct {
	incarnation fleet.Incarnation
	services    map[fleet.Service]workReport
}

// workReport is what a source reported last of one service.
type workReport struct {
	work       scheduling.Work
	sentAt     int64
	receivedAt time.Time
}

// Record takes a report in. One of an earlier start, or that another has overtaken, changes
// nothing.
func (t *Table) Record(now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.sources == nil {
		t.sources = make(map[fleet.InstanceID]*source)
	}

	from := t.sources[r.Instance]
	if from != nil && r.Incarnation < from.incarnation {
		return
	}

	if from == nil || r.Incarnation > from.incarnation {
		from = &source{incarnation: r.Incarnation, services: make(map[fleet.Service]workReport)}
		t.sources[r.Instance] = from
	}

	for _, work := range r.Work {
		if r.SentAt >= from.services[work.Service].sentAt {
			from.services[work.Service] = workReport{work: work, sentAt: r.SentAt, receivedAt: now}
		}
	}
}

// Total returns what arrives here and at all others, by service. Reports that came
// longer than life ago do not count and are forgotten.
func (t *Table) Total(now time.Time, ttl time.Duration, own []scheduling.Work) []scheduling.Work {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := slices.Clone(own)

	for id, from := range t.sources {
		maps.DeleteFunc(from.services, func(_ fleet.Service, e workReport) bool { return now.Sub(e.receivedAt) > ttl })

		if len(from.services) == 0 {
			delete(t.sources, id)
		}

		for _, e := range from.services {
			all = append(all, e.work)
		}
	}

	return sumByService(all)
}

// sumByService adds up what arrives by service. Its speed is the middle one: what single instances
// measured of few answers may lie far off.
func sumByService(all []scheduling.Work) []scheduling.Work {
	speeds := make(map[fleet.Service][]float64)

	var sums []scheduling.Work

	for _, w := range all {
		i := slices.IndexFunc(sums, func(s scheduling.Work) bool { return s.Service == w.Service })
		if i < 0 {
			i = len(sums)
			sums = append(sums, scheduling.Work{Service: w.Service})
		}

		sums[i].Arriving += w.Arriving

		if w.Speed > 0 {
			speeds[w.Service] = append(speeds[w.Service], w.Speed)
		}
	}

	for i, s := range sums {
		sums[i].Speed = median(speeds[s.Service])
	}

	return sums
}

// median returns the middle one of some numbers, or zero.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}

	slices.Sort(numbers)

	return numbers[len(numbers)/2]
}
