package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRateSamples is the least number of answers from which a read rate is computed. With fewer,
	// two answers of a server that was slow for a moment decide it.
	minRateSamples = 12
	// maxSlopeWeight bounds the tokens by which a pair of answers counts: a server that tells an
	// absurd pace must not outweigh all others.
	maxSlopeWeight = 4 * minSpeedTokens
)

// readSample is how long a server took until the first event of a prompt that found no backlog.
type readSample struct {
	// tokens are those that it had to read, divided by the server's pace.
	tokens  float64
	seconds float64
}

// readRate measures the rate at which a server of usual pace reads prompts, without the delays
// that don't depend on their length: those are the same for a short prompt and a long one, and
// cancel in the difference of two answers. The zero value has no samples.
type readRate struct {
	samples ring[readSample]
	rate    float64
	// outdated is set if samples were added since rate was computed.
	outdated bool
}

// add adds an answer. Prompts of all lengths count: short ones show the fixed delays.
func (r *readRate) add(tokens int, pace float64, took time.Duration) {
	if tokens <= 0 || took <= 0 || !(pace > 0) || math.IsInf(pace, 1) {
		return
	}

	r.samples.add(readSample{tokens: float64(tokens) / pace, seconds: took.Seconds()})
	r.outdated = true
}

// tokensPerSecond returns the measured rate, or zero while it is unknown.
func (r *readRate) tokensPerSecond() float64 {
	if r.outdated {
		r.rate, r.outdated = fitReadRate(r.samples.values), false
	}

	return r.rate
}

// slope is the time per token that two answers show.
type slope struct {
	perToken float64
	// weight is the difference of their tokens: the larger it is, the less other delays count. It
	// is at most maxSlopeWeight.
	weight float64
}

// fitReadRate returns the inverse of the weighted median of the slopes between all answers
// (Theil-Sen), on which a few answers that are far off have little effect, or zero if it is unknown.
func fitReadRate(samples []readSample) float64 {
	if len(samples) < minRateSamples {
		return 0
	}

	slopes := make([]slope, 0, len(samples)*(len(samples)-1)/2)
	total := 0.0

	for i, a := range samples {
		for _, b := range samples[:i] {
			difference := a.tokens - b.tokens
			if math.Abs(difference) < minSpeedTokens {
				continue
			}

			s := slope{perToken: (a.seconds - b.seconds) / difference, weight: min(math.Abs(difference), maxSlopeWeight)}
			slopes = append(slopes, s)
			total += s.weight
		}
	}

	slices.SortFunc(slopes, func(a, b slope) int { return cmp.Compare(a.perToken, b.perToken) })

	below := 0.0

	for _, s := range slopes {
		below += s.weight
		if below < total/2 {
			continue
		}

		if s.perToken <= 0 {
			return 0
		}

		return 1 / s.perToken
	}

	return 0
}

// paceOf returns the pace of a server, where 1 is the usual pace of its service.
func (s *Scheduler) paceOf(now time.Time, srv *server) float64 {
	if s.serverPace != nil {
		return s.serverPace(now, srv)
	}

	return 1
}
