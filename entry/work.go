package entry

import (
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

// workLife is how long what another instance said of its work counts.
const workLife = memberLapse

// workTable holds what others say that arrives at services of model engines. A relay says
// what arrives at it and at those that turned to it. The zero value is empty.
type workTable struct {
	mu sync.Mutex
	of map[fleet.InstanceID]heardWork
}

type heardWork struct {
	work       []scheduling.Work
	subscribes bool
	at         time.Time
}

func (t *workTable) hear(now time.Time, from fleet.InstanceID, work []scheduling.Work, subscribes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.of == nil {
		t.of = make(map[fleet.InstanceID]heardWork)
	}

	t.of[from] = heardWork{work: work, subscribes: subscribes, at: now}
}

// group returns what arrives here and at those that turned to this instance, and total
// what arrives at all.
func (t *workTable) group(now time.Time, own []scheduling.Work) []scheduling.Work {
	return t.merge(now, own, func(h heardWork) bool { return h.subscribes })
}

func (t *workTable) total(now time.Time, own []scheduling.Work) []scheduling.Work {
	return t.merge(now, own, func(heardWork) bool { return true })
}

// workOfAll returns what arrives at all instances, as far as it is known here.
func (p *parts) workOfAll(now time.Time) []scheduling.Work {
	return p.work.total(now, p.scheduler.Work(now))
}

func (t *workTable) merge(now time.Time, own []scheduling.Work, fits func(heardWork) bool) []scheduling.Work {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := slices.Clone(own)

	for id, h := range t.of {
		if now.Sub(h.at) > workLife {
			delete(t.of, id)

			continue
		}

		if fits(h) {
			all = append(all, h.work...)
		}
	}

	return mergeWork(all)
}

// mergeWork adds up what arrives by service. Its speed is the middle one: what single
// instances measured of few answers may lie far off.
func mergeWork(all []scheduling.Work) []scheduling.Work {
	speeds := make(map[fleet.Service][]float64)

	var merged []scheduling.Work

	for _, w := range all {
		i := slices.IndexFunc(merged, func(m scheduling.Work) bool { return m.Service == w.Service })
		if i < 0 {
			i = len(merged)
			merged = append(merged, scheduling.Work{Service: w.Service})
		}

		merged[i].Arriving += w.Arriving

		if w.Speed > 0 {
			speeds[w.Service] = append(speeds[w.Service], w.Speed)
		}
	}

	for i, m := range merged {
		merged[i].Speed = median(speeds[m.Service])
	}

	return merged
}

// median returns the middle one of some numbers, or zero.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}

	slices.Sort(numbers)

	return numbers[len(numbers)/2]
}
