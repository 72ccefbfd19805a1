package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// minRateSamples is the least number of answers from which a read rate is computed. With fewer,
	// two answers of a server that was slow for a moment decide it.
	minRateSamples = 12
	// maxSlowness bounds how much longer than usual an answer counts as having taken. Servers whose
	// machines are shared take two to three times as long at moments; what took longer waited.
	maxSlowness = 4
)

// readSample is an answer to a prompt that found no backlog.
type readSample struct {
	// tokens are those that the server had to read.
	tokens float64
	// seconds is how long it took until the first event, multiplied by the server's pace.
	seconds float64
}

// readRate measures the sustained rate at which a server of usual pace reads prompts, without the
// delays that don't depend on their length: those are the same for a short prompt and a long one,
// and cancel in the difference of two answers. Moments in which servers are slow count by their
// share of the answers. The zero value has no samples.
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

	r.samples.add(readSample{tokens: float64(tokens), seconds: took.Seconds() * pace})
	r.outdated = true
}

// tokensPerSecond returns the measured rate, or zero while it is unknown.
func (r *readRate) tokensPerSecond() float64 {
	if r.outdated {
		r.rate, r.outdated = fitReadRate(r.samples.values), false
	}

	return r.rate
}

// fitReadRate returns the sustained rate that the answers show, or zero if it is unknown.
func fitReadRate(samples []readSample) float64 {
	perToken := medianSlope(samples)
	if len(samples) < minRateSamples || !(perToken > 0) {
		return 0
	}

	return 1 / (perToken * meanSlowness(samples, perToken))
}

// medianSlope returns the median of the times per token that pairs of answers show (Theil-Sen), on
// which a few answers that are far off have little effect, or zero if it is unknown.
func medianSlope(samples []readSample) float64 {
	slopes := make([]float64, 0, len(samples)*len(samples)/2)

	for i, a := range samples {
		for _, b := range samples[:i] {
			// In smaller differences the variation of other delays dominates.
			if difference := a.tokens - b.tokens; math.Abs(difference) >= minSpeedTokens {
				slopes = append(slopes, (a.seconds-b.seconds)/difference)
			}
		}
	}

	if len(slopes) == 0 {
		return 0
	}

	slices.Sort(slopes)

	return slopes[len(slopes)/2]
}

// meanSlowness returns how long the answers took in the mean, relative to the time that the median
// slope and delay give.
func meanSlowness(samples []readSample, perToken float64) float64 {
	delays := make([]float64, 0, len(samples))
	for _, s := range samples {
		delays = append(delays, s.seconds-perToken*s.tokens)
	}

	slices.Sort(delays)

	delay, sum := max(delays[len(delays)/2], 0), 0.0
	for _, s := range samples {
		sum += min(s.seconds/(delay+perToken*s.tokens), maxSlowness)
	}

	return max(sum/float64(len(samples)), 1)
}
