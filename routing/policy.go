package routing

import "time"

// Policy holds the settings of a table. A zero field stands for its default.
type Policy struct {
	// Choices is how many servers are drawn for a request.
	Choices int
	// AffinityBound is how far above the mean load of its pool a server with a
	// cached prefix may be, as a factor.
	AffinityBound float64
	// AffinityCeiling is the utilisation above which a cached prefix isn't
	// worth the wait for a slot.
	AffinityCeiling float64
	// PrefixMemory is how many prefixes are remembered.
	PrefixMemory int
	// PrefixLifetime is how long a prefix is remembered.
	PrefixLifetime time.Duration
	// HalfLife is the time in which the outcome of a call loses half its weight.
	HalfLife time.Duration
	// MinSamples is how many outcomes a server is judged by.
	MinSamples float64
	// MaxEjectedShare is the greatest share of a pool that is ejected.
	MaxEjectedShare float64
	// LatencyFactor is how far above the median a latency is an outlier.
	LatencyFactor float64
	// ErrorMargin is how far above the median an error rate is an outlier.
	ErrorMargin float64
	// ProbeAfter is the time from the first ejection to the first probe. It
	// doubles with each ejection or failed probe.
	ProbeAfter time.Duration
	// ProbeAtMost bounds the time between probes.
	ProbeAtMost time.Duration
	// ReportGrace is how long a server that the list lacks is kept for its own
	// reports.
	ReportGrace time.Duration
	// SilentAfter is how long after its last report a server is used only where
	// the others that were drawn are silent too.
	SilentAfter time.Duration
	// ForgetAfter is how long a server that the list lacks is remembered, so
	// that a late list can't bring it back.
	ForgetAfter time.Duration
	// DefaultCapacity stands for the capacity of a server that said none.
	DefaultCapacity int
}

func (p Policy) withDefaults() Policy {
	setDefault(&p.Choices, 3)
	setDefault(&p.AffinityBound, 1.5)
	setDefault(&p.AffinityCeiling, 1)
	setDefault(&p.PrefixMemory, 1<<15)
	setDefault(&p.PrefixLifetime, 10*time.Minute)
	setDefault(&p.HalfLife, time.Minute)
	setDefault(&p.MinSamples, 5)
	setDefault(&p.MaxEjectedShare, 0.34)
	setDefault(&p.LatencyFactor, 2.5)
	setDefault(&p.ErrorMargin, 0.25)
	setDefault(&p.ProbeAfter, time.Second)
	setDefault(&p.ProbeAtMost, time.Minute)
	setDefault(&p.ReportGrace, 5*time.Second)
	setDefault(&p.SilentAfter, 2*time.Second)
	setDefault(&p.ForgetAfter, 15*time.Minute)
	setDefault(&p.DefaultCapacity, 1)

	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
