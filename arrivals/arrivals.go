// Package arrivals adds up the work that arrives at the services of model engines over all
// entry instances.
//
// Each instance reports only the work that arrives at itself to the instances that plan
// capacity, and a Table keeps the newest report of each. Sums are computed where they are
// used and are never sent: forwarded sums that are added up again would count instances twice
// as soon as a forwarding instance changes its role.
//
// # Usage
//
//	var t arrivals.Table
//	t.Record(now, arrivals.Report{Instance: "entry-2", Incarnation: 7, SentAt: 1, Work: work})
//	total := t.Total(now, ttl, ownWork)
package arrivals

import (
	"maps"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

// Report is the work that arrives at one instance, for all services or some of them.
type Report struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	// SentAt is the sender's clock in nanoseconds; it orders the reports of one incarnation.
	SentAt int64
	Work   []scheduling.Work
}

// Table holds the newest reports of all other instances. The zero value is empty; it is safe
// for concurrent use.
type Table struct {
	mu      sync.Mutex
	sources map[fleet.InstanceID]*source
}

// source holds the reports of one incarnation of an instance.
type source struct {
	incarnation fleet.Incarnation
	services    map[fleet.Service]workReport
}

// workReport is a source's newest report on one service.
type workReport struct {
	work       scheduling.Work
	sentAt     int64
	receivedAt time.Time
}

// Record records a report. Reports of an earlier incarnation and reports that arrive after a
// newer one have no effect.
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

// Total returns the work that arrives at this and at all other instances, by service. Reports
// received longer than ttl ago are expired and removed.
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

// sumByService adds up the arriving work by service. The speed and the read rate are medians,
// because what one instance measured on few answers may be far off. Instances that don't tell how
// much has to be read count with the work that arrives: they may run an earlier version.
func sumByService(all []scheduling.Work) []scheduling.Work {
	speeds := make(map[fleet.Service][]float64)
	readRates := make(map[fleet.Service][]float64)

	var sums []scheduling.Work

	for _, w := range all {
		i := slices.IndexFunc(sums, func(s scheduling.Work) bool { return s.Service == w.Service })
		if i < 0 {
			i = len(sums)
			sums = append(sums, scheduling.Work{Service: w.Service})
		}

		sums[i].Arriving += w.Arriving

		if w.Reading > 0 {
			sums[i].Reading += w.Reading
		} else {
			sums[i].Reading += w.Arriving
		}

		if w.Speed > 0 {
			speeds[w.Service] = append(speeds[w.Service], w.Speed)
		}

		if w.ReadRate > 0 {
			readRates[w.Service] = append(readRates[w.Service], w.ReadRate)
		}
	}

	for i, s := range sums {
		sums[i].Speed = median(speeds[s.Service])
		sums[i].ReadRate = median(readRates[s.Service])

		if sums[i].ReadRate == 0 {
			sums[i].Reading = 0
		}
	}

	return sums
}

// median returns the median of the numbers, or zero if there are none.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}

	slices.Sort(numbers)

	return numbers[len(numbers)/2]
}
