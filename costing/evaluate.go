package costing

import (
	"time"

	"monsoonlever/placement"
	"monsoonlever/provider"
)

// loadsPerMinute is how many runners the weight store fills in a minute.
const loadsPerMinute = 2

var dayStart = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// simulation is one service under one planner.
type simulation struct {
	day      *ServiceDay
	planner  Planner
	refusals *placement.CellPenalties
	reclaims *placement.CellPenalties
	running  []*instance
	backlog  backlog
	moves    []int
	givenUp  []int
	result   Result
}

// instance is paid for from its purchase and serves once it is ready.
type instance struct {
	cell    placement.Cell
	startAt int
	ready   bool
}

// Evaluate runs a planner through the day of a service. The first instances are
// there and ready at the start.
func Evaluate(day ServiceDay, planner Planner) Result {
	config := placement.DefaultConfig()
	s := &simulation{
		day:      &day,
		planner:  planner,
		refusals: config.NewCellPenalties(),
		reclaims: config.NewCellPenalties(),
	}

	for minute := range Minutes {
		s.strike(minute)
		s.start(minute)
		s.shape(minute)

		if minute == 0 {
			s.readyAll()
		}

		s.serve(minute)
		s.pay(minute)
	}

	s.result.Late += s.backlog.rest(Minutes, s.patience())

	return s.result
}

func (s *simulation) now(minute int) time.Time {
	return dayStart.Add(time.Duration(minute) * time.Minute)
}

func (s *simulation) patience() int {
	return int(s.day.Patience / time.Minute)
}

// strike takes the reclaimable instances of the struck failure domains.
func (s *simulation) strike(minute int) {
	for _, domain := range s.day.market.struck[minute] {
		kept := s.running[:0]

		for _, i := range s.running {
			if i.cell.Domain != domain || !i.reclaimable() {
				kept = append(kept, i)

				continue
			}

			s.result.Reclaimed++
			s.reclaims.Add(s.now(minute), i.cell)
		}

		s.running = kept
	}
}

// start makes instances ready: after their start time, and for runners as the
// weight store gets to them.
func (s *simulation) start(minute int) {
	loads := loadsPerMinute

	for _, i := range s.running {
		if i.ready || minute < i.startAt {
			continue
		}

		if s.day.Service.LoadTime > 0 {
			if loads == 0 {
				continue
			}

			loads--
		}

		i.ready = true
	}
}

func (s *simulation) readyAll() {
	for _, i := range s.running {
		i.ready = true
	}
}

func (s *simulation) serve(minute int) {
	load := s.day.trace[minute]
	capacity := 0.0

	for _, i := range s.running {
		if i.ready {
			capacity += s.day.Service.Capacity[i.cell.Class].TokensPerSecond
		}
	}

	s.result.Work += load
	urgent := load * s.day.Service.UrgentShare
	served := min(urgent, capacity)
	s.result.Late += urgent - served
	s.backlog.arrive(minute, urgent-served, true)
	s.backlog.arrive(minute, load-urgent, false)
	s.result.Late += s.backlog.serve(minute, capacity-served, s.patience())
}

func (s *simulation) pay(minute int) {
	prices := s.day.market.prices(minute)
	for _, i := range s.running {
		s.result.Money += prices[i.cell] / 60
	}
}

// shape plans and carries the plan out, as placement.Reconciler does with a
// cloud API that answers at once.
func (s *simulation) shape(minute int) {
	decision := s.planner.Plan(View{
		Now:      s.now(minute),
		Minute:   minute,
		Day:      s.day,
		Load:     placement.Load{TokensPerSecond: s.day.trace[max(0, minute-1)]},
		Have:     s.have(),
		Offers:   s.day.market.offers[minute],
		Refusals: s.refusals,
		Reclaims: s.reclaims,
	})

	if len(decision.Limits) == 0 {
		return
	}

	s.buy(minute, decision)
	s.giveUp(minute, decision)
}

func (s *simulation) have() map[placement.Cell]int {
	have := make(map[placement.Cell]int)
	for _, i := range s.running {
		have[i.cell]++
	}

	return have
}

func (s *simulation) buy(minute int, d placement.Decision) {
	have := s.have()
	limit := d.Limits[0]

	for _, t := range d.Targets {
		for have[t.Cell] < t.Count && len(s.running) < limit.Max {
			voluntary := len(s.running) >= limit.Needed
			if voluntary && lastHour(s.moves, minute) >= s.planner.Moves() {
				break
			}

			if s.day.market.refused(minute, t.Cell) {
				s.refusals.Add(s.now(minute), t.Cell)

				break
			}

			if voluntary {
				s.moves = append(s.moves, minute)
			}

			have[t.Cell]++
			s.result.Bought++
			s.running = append(s.running, &instance{cell: t.Cell, startAt: minute + s.startMinutes()})
		}
	}
}

func (s *simulation) startMinutes() int {
	return int(s.day.Service.StartTime / time.Minute)
}

// giveUp drops the newest instances beyond the wanted counts while the ready
// ones are enough.
func (s *simulation) giveUp(minute int, d placement.Decision) {
	wanted := make(map[placement.Cell]int)
	total := 0

	for _, t := range d.Targets {
		wanted[t.Cell] += t.Count
		total += t.Count
	}

	have := s.have()
	ready := s.readyCount()
	kept := make([]*instance, 0, len(s.running))

	for index := len(s.running) - 1; index >= 0; index-- {
		i := s.running[index]
		surplus := have[i.cell] > wanted[i.cell]
		enough := !i.ready || ready > total

		if !surplus || !enough || lastHour(s.givenUp, minute) >= s.planner.Moves() {
			kept = append(kept, i)

			continue
		}

		have[i.cell]--
		s.givenUp = append(s.givenUp, minute)

		if i.ready {
			ready--
		}
	}

	for left, right := 0, len(kept)-1; left < right; left, right = left+1, right-1 {
		kept[left], kept[right] = kept[right], kept[left]
	}

	s.running = kept
}

func (s *simulation) readyCount() int {
	ready := 0

	for _, i := range s.running {
		if i.ready {
			ready++
		}
	}

	return ready
}

func lastHour(minutes []int, now int) int {
	count := 0

	for _, m := range minutes {
		if now-m < 60 {
			count++
		}
	}

	return count
}

func (i *instance) reclaimable() bool {
	return i.cell.Market == provider.Reclaimable
}
