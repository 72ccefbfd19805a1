package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overrunWithStandby is overrun with two granters: the second one decides on the part of the requests
// for which the reply of the first comes late.
func overrunWithStandby(late float64, maxRejections int, random *rand.Rand) (worst, served int) {
	const (
		slots, waiting = 2, 2
		perSecond      = 100
		work           = slots * time.Second / perSecond
		duration       = 30 * time.Second
		demand         = 1.25
		delay          = 5 * time.Millisecond
		replyTimeout   = 40 * time.Millisecond
	)

	type event struct {
		at time.Time
		do func(at time.Time)
	}

	var (
		granters [2]occupancy
		now      = time.Unix(1000, 0)
		begun    = now
		events   []event
		ends     []time.Time
		rejects  []time.Time
	)

	after := func(at time.Time, do func(at time.Time)) {
		i, _ := slices.BinarySearchFunc(events, at, func(e event, at time.Time) int {
			if e.at.After(at) {
				return 1
			}

			return -1
		})
		events = slices.Insert(events, i, event{at, do})
	}

	arrive := func(at time.Time, granter int, permit Permit) {
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(at) })
		r := PermitReport{Level: permit.Level, Probe: permit.Probe, Requests: unknownRequests, MaxRejections: maxRejections}

		if len(ends) >= slots+waiting {
			rejects = append(rejects, at)

			after(at.Add(delay), func(at time.Time) {
				granters[0].rejected(at, r, granter == 0)
				granters[1].rejected(at, r, granter == 1)
			})

			return
		}

		start := at
		if len(ends) >= slots && ends[len(ends)-slots].After(at) {
			start = ends[len(ends)-slots]
		}

		end := start.Add(work)
		ends = append(ends, end)
		served++
		r.Accepted = true

		after(end.Add(delay), func(at time.Time) {
			granters[0].ended(at, r, granter == 0)

			if granter == 1 {
				granters[1].ended(at, r, true)
			}
		})
	}

	var next func(at time.Time)

	next = func(at time.Time) {
		permit := granters[0].grant(at, maxRejections, 8, 1, 0)

		switch {
		case random.Float64() >= late:
			if permit.Granted {
				after(at.Add(delay), func(at time.Time) { arrive(at, 0, permit) })
			}
		default:
			if permit.Granted {
				after(at.Add(2*replyTimeout), func(at time.Time) {
					granters[0].ended(at, PermitReport{Level: permit.Level, Probe: permit.Probe, Requests: unknownRequests}, true)
				})
			}

			after(at.Add(replyTimeout), func(at time.Time) {
				if permit := granters[1].grant(at, maxRejections, 8, standbyShare, 0); permit.Granted {
					arrive(at.Add(delay), 1, permit)
				}
			})
		}

		after(at.Add(time.Duration(random.ExpFloat64()/(demand*perSecond)*float64(time.Second))), next)
	}

	after(now, next)

	for now.Sub(begun) < duration {
		e := events[0]
		events = events[1:]
		now = e.at
		e.do(now)
	}

	return mostWithinSecond(rejects), served
}

// Guards against a server that hardly gets requests any more, and one that falls over, while replies
// of the first granter come late, so that the second one grants too.
func TestLateRepliesOfGranterLeaveServerInUse(t *testing.T) {
	const (
		capacity       = 3000
		minServedShare = 0.5
		seeds          = 5
	)

	for _, tt := range []struct {
		late          float64
		maxRejections int
	}{{0, 2}, {0, 6}, {0, 12}, {0.02, 6}, {0.02, 12}, {0.1, 6}, {0.1, 12}, {0.3, 6}, {0.3, 12}} {
		t.Run(fmt.Sprint(tt.late, " late, ", tt.maxRejections, " rejections"), func(t *testing.T) {
			for seed := range uint64(seeds) {
				worst, served := overrunWithStandby(tt.late, tt.maxRejections, rand.New(rand.NewPCG(1, seed)))
				t.Logf("seed %d: served %d of %d, rejected in the worst second %d", seed, served, capacity, worst)

				if worst > tt.maxRejections {
					t.Errorf("seed %d: rejected in the worst second: got %d, want at most %d", seed, worst, tt.maxRejections)
				}

				if want := int(minServedShare * capacity); served < want {
					t.Errorf("seed %d: served: got %d, want at least %d", seed, served, want)
				}
			}
		})
	}
}
