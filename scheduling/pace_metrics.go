package scheduling

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// slowFrom is the slowness from which work counts as slow in metrics.
const slowFrom = 1.5

// paceBands are the bands of paces that metrics count servers by, each with its lower bound.
var paceBands = []struct {
	name string
	from float64
}{{"very_slow", 0}, {"slow", 0.5}, {"usual", 0.8}, {"fast", 1.25}, {"very_fast", 2}}

// AddPaceGauges registers gauges of the paces of servers, which now returns the time for. Their
// number does not depend on that of servers.
func (s *Scheduler) AddPaceGauges(set *metrics.Set, now func() time.Time) {
	for i, band := range paceBands {
		to := math.Inf(1)
		if i+1 < len(paceBands) {
			to = paceBands[i+1].from
		}

		set.NewGauge(fmt.Sprintf("monsoonlever_scheduling_paced_servers{pace=%q}", band.name), func() float64 {
			return float64(s.countServers(func(srv *server) bool {
				pace := srv.pace.overall()

				return srv.pace.service.told(now()) && pace >= band.from && pace < to
			}))
		})
	}

	set.NewGauge("monsoonlever_scheduling_slow_servers", func() float64 {
		return float64(s.countServers(func(srv *server) bool {
			at := now()

			return srv.pace.service.told(at) && srv.pace.expectedSlowness(at) >= slowFrom
		}))
	})
}

// slownessCounters count answers by whether the server told that it is slow, and whether it was.
type slownessCounters [2][2]*metrics.Counter

func newSlownessCounters(set *metrics.Set) slownessCounters {
	var c slownessCounters

	for told, toldName := range []string{"usual", "slow"} {
		for seen, seenName := range []string{"usual", "slow"} {
			c[told][seen] = set.NewCounter(fmt.Sprintf("monsoonlever_scheduling_prompt_reads_total{told=%q,seen=%q}", toldName, seenName))
		}
	}

	return c
}

// readSlowness counts a prompt that was read, by the slowness that was told and that which was seen.
func (c *Counters) readSlowness(told, seen float64) {
	if c != nil {
		c.reads[index(told >= slowFrom)][index(seen >= slowFrom)].Inc()
	}
}

func index(holds bool) int {
	if holds {
		return 1
	}

	return 0
}
