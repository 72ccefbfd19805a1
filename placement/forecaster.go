package placement

import "time"

// Forecaster extrapolates the recent trend of a load over the time that a purchase
// takes. Demand that triples at the close of a payment run rises over minutes,
// so its slope can be measured before its peak is reached.
type Forecaster struct {
	// Lead is how far ahead to look.
	Lead time.Duration
	// Window is the age of the oldest sample used for the trend.
	Window time.Duration
	// HoldDown is how long a past need prevents capacity from being retired.
	HoldDown time.Duration
	// Headroom is the fraction added to the forecast.
	Headroom float64
	// MaxGrowth bounds the forecast as a multiple of the current load.
	MaxGrowth float64

	samples []sample
	needs   []sample
}

type sample struct {
	at   time.Time
	load Load
}

// NewForecaster returns a forecaster with settings for a lead time.
func NewForecaster(lead time.Duration) *Forecaster {
	return &Forecaster{
		Lead:      lead,
		Window:    6 * time.Minute,
		HoldDown:  12 * time.Minute,
		Headroom:  0.05,
		MaxGrowth: 3,
	}
}

// Observe records one measurement of the load.
func (f *Forecaster) Observe(now time.Time, load Load) {
	f.samples = append(removeBefore(f.samples, now.Add(-f.Window)), sample{at: now, load: load})
	f.needs = append(removeBefore(f.needs, now.Add(-f.HoldDown)), sample{at: now, load: f.need(now)})
}

// Forecast returns the forecast as of the last measurement.
func (f *Forecaster) Forecast() Forecast {
	if len(f.samples) == 0 {
		return Forecast{}
	}

	result := Forecast{Now: f.currentLoad(), Need: f.needs[len(f.needs)-1].load}
	for _, n := range f.needs {
		result.Peak = result.Peak.Max(n.load)
	}

	return result
}

func (f *Forecaster) need(now time.Time) Load {
	level := f.currentLoad()
	if f.samples[len(f.samples)-1].at.Sub(f.samples[0].at) < f.Window/2 {
		return level.Scale(1 + f.Headroom)
	}

	ahead := Load{
		RequestsPerSecond: f.extrapolate(now, Load.requests),
		TokensPerSecond:   f.extrapolate(now, Load.tokens),
	}
	ahead = Load{
		RequestsPerSecond: min(ahead.RequestsPerSecond, level.RequestsPerSecond*f.MaxGrowth),
		TokensPerSecond:   min(ahead.TokensPerSecond, level.TokensPerSecond*f.MaxGrowth),
	}

	return level.Max(ahead).Scale(1 + f.Headroom)
}

// currentLoad is the mean of the newest third of the window, so that a single
// noisy measurement triggers no purchase.
func (f *Forecaster) currentLoad() Load {
	newest := f.samples[len(f.samples)-1].at
	sum, count := Load{}, 0.0

	for _, s := range f.samples {
		if newest.Sub(s.at) > f.Window/3 {
			continue
		}

		sum.RequestsPerSecond += s.load.RequestsPerSecond
		sum.TokensPerSecond += s.load.TokensPerSecond
		count++
	}

	return sum.Scale(1 / count)
}

// extrapolate fits a line by least squares and returns its value at the lead time.
func (f *Forecaster) extrapolate(now time.Time, rate func(Load) float64) float64 {
	n := float64(len(f.samples))

	var sumX, sumY, sumXX, sumXY float64

	for _, s := range f.samples {
		x, y := s.at.Sub(now).Seconds(), rate(s.load)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}

	spread := n*sumXX - sumX*sumX
	if spread <= 0 {
		return sumY / n
	}

	slope := (n*sumXY - sumX*sumY) / spread
	level := (sumY - slope*sumX) / n

	return level + slope*f.Lead.Seconds()
}

func (l Load) requests() float64 { return l.RequestsPerSecond }

func (l Load) tokens() float64 { return l.TokensPerSecond }

func removeBefore(samples []sample, oldest time.Time) []sample {
	kept := samples[:0]

	for _, s := range samples {
		if !s.at.Before(oldest) {
			kept = append(kept, s)
		}
	}

	return kept
}
