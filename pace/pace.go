// Package pace estimates how fast servers work from the answers that they give.
//
// A server's rate is learned from samples: work done by the time that it took. Recent samples weigh
// most. While there are few of them the estimate falls back to the long-term average of the server,
// and with few samples at all to what is usual for its service. A server that gets little work is
// thus taken for a usual one again after a while, gets work, and is measured anew.
//
// Nothing here uses a network or a clock; times are arguments.
//
// # Usage
//
//	var rate pace.Estimator
//	rate.Add(now, pace.SampleOf(tokens/took.Seconds()))
//
//	usual := pace.Usual(now, rates)
//	p := rate.Relative(now, usual) // 2 means twice as fast as usual.
package pace

import (
	"math"
	"time"
)

// Bounds of paces and weights of samples.
const (
	// Min and Max bound the pace of a server relative to its service. They limit the damage of wrong
	// measurements.
	Min = 1.0 / 8
	Max = 8.0
	// priorSamples is the weight of the prior in samples: a single sample may be off by the time
	// that the prompt waited behind others.
	priorSamples = 2
	// recentHalfLife is that of samples in the recent average: a server that changed is to be used
	// by its new pace within three seconds.
	recentHalfLife = time.Second
	// longHalfLife is that of samples in the long-term average, so that differences between servers
	// are kept while few requests arrive.
	longHalfLife = 10 * time.Second
)

// Sample is the sum of the logarithms of rates, and their number.
type Sample struct {
	LogSum, Weight float64
}

// SampleOf returns the sample of one rate. It is empty if the rate is not positive and finite.
func SampleOf(rate float64) Sample {
	if !(rate > 0) || math.IsInf(rate, 1) {
		return Sample{}
	}

	return Sample{LogSum: math.Log(rate), Weight: 1}
}

// Plus returns both samples together.
func (s Sample) Plus(other Sample) Sample {
	return Sample{LogSum: s.LogSum + other.LogSum, Weight: s.Weight + other.Weight}
}

// Valid reports whether the sample holds finite numbers and a positive weight.
func (s Sample) Valid() bool {
	return s.Weight > 0 && !math.IsInf(s.Weight, 0) && !math.IsNaN(s.LogSum) && !math.IsInf(s.LogSum, 0)
}

// average is a mean of samples whose weight halves with a half-life. The zero value is empty.
type average struct {
	sum Sample
	at  time.Time
}

func (a *average) add(now time.Time, s Sample, halfLife time.Duration) {
	a.sum = a.decayed(now, halfLife).Plus(s)
	a.at = now
}

func (a *average) decayed(now time.Time, halfLife time.Duration) Sample {
	if a.at.IsZero() {
		return Sample{}
	}

	factor := math.Exp2(-float64(max(now.Sub(a.at), 0)) / float64(halfLife))

	return Sample{LogSum: factor * a.sum.LogSum, Weight: factor * a.sum.Weight}
}

// shrink returns the mean of a sample and of a prior that weighs priorSamples.
func (s Sample) shrink(prior float64) float64 {
	return (s.LogSum + priorSamples*prior) / (s.Weight + priorSamples)
}

// Estimator estimates the rate of one server. The zero value has no samples. It is not safe for
// concurrent use.
type Estimator struct {
	recent, long average
}

// Add adds a sample.
func (e *Estimator) Add(now time.Time, s Sample) {
	if !s.Valid() {
		return
	}

	e.recent.add(now, s, recentHalfLife)
	e.long.add(now, s, longHalfLife)
}

// Weight returns the weight of the samples of the long-term average, in samples.
func (e *Estimator) Weight(now time.Time) float64 { return e.long.decayed(now, longHalfLife).Weight }

// Relative returns the pace of the server relative to a usual rate: 2 means twice as fast. It is 1
// while the usual rate is unknown, which is zero.
func (e *Estimator) Relative(now time.Time, usual float64) float64 {
	if !(usual > 0) {
		return 1
	}

	prior := math.Log(usual)
	long := e.long.decayed(now, longHalfLife).shrink(prior)
	recent := e.recent.decayed(now, recentHalfLife).shrink(long)

	return bound(math.Exp(recent - prior))
}

// LongTerm returns the pace of the server as Relative does, by its long-term average alone.
func (e *Estimator) LongTerm(now time.Time, usual float64) float64 {
	if !(usual > 0) {
		return 1
	}

	prior := math.Log(usual)

	return bound(math.Exp(e.long.decayed(now, longHalfLife).shrink(prior) - prior))
}

func bound(relative float64) float64 { return min(max(relative, Min), Max) }

// Usual returns the geometric mean of the rates of servers that have samples, or zero if none has.
// Each server counts by how sure its rate is, and at most once: those that get more requests count
// no more.
func Usual(now time.Time, servers []*Estimator) float64 {
	var sum Sample

	for _, e := range servers {
		s := e.long.decayed(now, longHalfLife)
		if s.Weight == 0 {
			continue
		}

		certainty := s.Weight / (s.Weight + priorSamples)
		sum = sum.Plus(Sample{LogSum: certainty * s.LogSum / s.Weight, Weight: certainty})
	}

	if sum.Weight == 0 {
		return 0
	}

	return math.Exp(sum.LogSum / sum.Weight)
}
