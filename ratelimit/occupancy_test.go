package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// pendingReport is a report on its way to the granter.
type pendingReport struct {
	at     time.Time
	report PermitReport
}

// overrun plays a brittle server with room for some requests, from which more are wanted than it
// serves, and returns how many requests it rejected in its worst second and how many it served.
func overrun(perSecond float64, maxRejections int, delay time.Duration, random *rand.Rand) (worst, served int) {
	const (
		slots, waiting = 2, 2
		duration       = 30 * time.Second
		demand         = 1.5
	)

	var (
		o       occupancy
		now     = time.Unix(1000, 0)
		begun   = now
		work    = time.Duration(slots / perSecond * float64(time.Second))
		ends    []time.Time
		reports []pendingReport
		rejects []time.Time
	)

	send := func(at time.Time, permit Permit, r PermitReport) {
		r.Level, r.Probe, r.Requests, r.MaxRejections = permit.Level, permit.Probe, unknownRequests, maxRejections
		reports = append(reports, pendingReport{at.Add(delay), r})
		slices.SortStableFunc(reports, func(a, b pendingReport) int { return a.at.Compare(b.at) })
	}

	for now.Sub(begun) < duration {
		now = now.Add(time.Duration(random.ExpFloat64() / (demand * perSecond) * float64(time.Second)))

		for len(reports) > 0 && reports[0].at.Before(now) {
			if next := reports[0]; next.report.Kind == Rejected {
				o.rejected(next.at, next.report, true)
			} else {
				o.ended(next.at, next.report, true)
			}

			reports = reports[1:]
		}

		permit := o.grant(now, maxRejections, 0, 1, 0)
		if !permit.Granted {
			continue
		}

		for len(ends) > 0 && ends[0].Before(now) {
			ends = ends[1:]
		}

		if len(ends) >= slots+waiting {
			rejects = append(rejects, now)
			send(now, permit, PermitReport{Kind: Rejected})

			continue
		}

		start := now
		if len(ends) >= slots && ends[len(ends)-slots].After(now) {
			start = ends[len(ends)-slots]
		}

		ends = append(ends, start.Add(work))
		served++

		send(start.Add(work), permit, PermitReport{Kind: Ended, Accepted: true})
	}

	return mostWithinSecond(rejects), served
}

// mostWithinSecond returns how many of the times, in their order, are within a second at most.
func mostWithinSecond(times []time.Time) int {
	most := 0

	for i, at := range times {
		n := 1
		for _, other := range times[i+1:] {
			if other.Sub(at) <= time.Second {
				n++
			}
		}

		most = max(most, n)
	}

	return most
}

// Guards against servers that fall over, and against servers that hardly get requests any more, at
// the rates of few and many instances, with the time that a report takes to reach the granter.
func TestRejectionsStayWithinWhatServerBears(t *testing.T) {
	const minServedShare = 0.5

	for _, perSecond := range []float64{20, 100, 400} {
		for _, maxRejections := range []int{3, 6, 12} {
			t.Run(fmt.Sprint(perSecond, " a second, ", maxRejections, " rejections"), func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(maxRejections)))

				worst, served := overrun(perSecond, maxRejections, 5*time.Millisecond, random)
				if worst > maxRejections {
					t.Errorf("rejected in the worst second: got %d, want at most %d", worst, maxRejections)
				}

				if want := int(minServedShare * perSecond * 30); served < want {
					t.Errorf("served: got %d, want at least %d", served, want)
				}
			})
		}
	}
}

// Guards against a server that hardly gets requests any more since it rejected one right after a
// pause, in which nothing was granted: that is no sign of little room.
func TestRejectionAfterPauseLowersRateOnce(t *testing.T) {
	const (
		maxRejections = 2
		room          = 20
		leastShare    = 0.49
	)

	var o occupancy

	now := time.Unix(1000, 0)
	o.present, o.proven = room, room
	o.rejected(now, PermitReport{Level: room, Requests: unknownRequests, MaxRejections: maxRejections}, true)

	first := o.limit
	now = now.Add(o.grant(now, maxRejections, 0, 1, 0).Wait)
	o.present = 0

	var last Permit
	for range 4 {
		last = o.grant(now, maxRejections, 0, 1, 0)
	}

	o.rejected(now, PermitReport{Level: last.Level, Probe: last.Probe, Requests: unknownRequests, MaxRejections: maxRejections}, true)

	if want := int(leastShare * float64(first)); o.limit < want {
		t.Errorf("limit after a second rejection: got %d, want at least %d of %d before", o.limit, want, first)
	}
}

// Guards against a server of which nothing is known and that gets more requests at a time than it
// bears rejections.
func TestUnknownServerGetsFewAtATime(t *testing.T) {
	const (
		maxRejections = 4
		slots         = 16
	)

	var o occupancy

	now := time.Unix(1000, 0)

	var granted []Permit

	take := func() {
		for range slots {
			if permit := o.grant(now, maxRejections, slots, 1, 0); permit.Granted {
				granted = append(granted, permit)
			}
		}
	}

	take()

	if got, want := len(granted), maxProbes(maxRejections); got != want {
		t.Errorf("granted at once: got %d, want %d", got, want)
	}

	o.began(now, PermitReport{Level: granted[0].Level, Probe: true, Requests: unknownRequests}, true)
	o.rejected(now, PermitReport{Level: granted[1].Level, Probe: true, Requests: unknownRequests, MaxRejections: maxRejections}, true)

	granted = nil

	take()

	if got, want := len(granted), maxProbes(maxRejections)-1; got != want {
		t.Errorf("granted after a rejection: got %d, want %d", got, want)
	}
}
