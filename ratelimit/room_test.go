package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// overrun plays a brittle server with room for some requests, from which more are wanted than it
// serves, and returns how many requests it rejected in its worst second and how many it served.
func overrun(perSecond float64, maxRejections int, delay time.Duration, random *rand.Rand) (worst, served int) {
	const (
		slots, waiting = 2, 2
		duration       = 30 * time.Second
		demand         = 1.5
	)

	var (
		r                room
		paced            = bucket{paced: true}
		now              = time.Unix(1000, 0)
		begun            = now
		work             = time.Duration(slots / perSecond * float64(time.Second))
		ends             []time.Time
		reports, rejects []time.Time
	)

	paced.updatedAt = now

	for now.Sub(begun) < duration {
		now = now.Add(time.Duration(random.ExpFloat64() / (demand * perSecond) * float64(time.Second)))

		for len(reports) > 0 && reports[0].Before(now) {
			r.rejected(reports[0], maxRejections)
			reports = reports[1:]
		}

		rate, pause := r.current(now)
		if pause > 0 {
			continue
		}

		if rate > 0 {
			if _, granted := paced.take(now, float64(rate), 0); !granted {
				continue
			}
		}

		r.granted(now)

		for len(ends) > 0 && ends[0].Before(now) {
			ends = ends[1:]
		}

		if len(ends) >= slots+waiting {
			rejects, reports = append(rejects, now), append(reports, now.Add(delay))

			continue
		}

		start := now
		if len(ends) >= slots && ends[len(ends)-slots].After(now) {
			start = ends[len(ends)-slots]
		}

		ends = append(ends, start.Add(work))
		served++
	}

	for i, at := range rejects {
		n := 1
		for _, other := range rejects[i+1:] {
			if other.Sub(at) <= time.Second {
				n++
			}
		}

		worst = max(worst, n)
	}

	return worst, served
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
		interval      = 8 * time.Millisecond
	)

	var r room

	now := time.Unix(1000, 0)
	grant := func(n int) {
		for range n {
			now = now.Add(interval)
			r.granted(now)
		}
	}

	grant(200)
	r.rejected(now, maxRejections)

	first := r.rate
	_, pause := r.current(now)
	now = now.Add(pause)

	grant(4)
	r.current(now)
	r.rejected(now, maxRejections)

	if want := first * decrease * decrease; r.rate < want {
		t.Errorf("rate after a second rejection: got %.1f, want at least %.1f of %.1f before", r.rate, want, first)
	}
}
