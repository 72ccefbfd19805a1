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
	// MaxPrefixes is how many prefixes are remembered.
	MaxPrefixes int
	// PrefixTTL is how long a prefix is remembered.
	PrefixTTL time.Duration
	// OutcomeHalfLife is the time in which the outcome of a call loses half its weight.
	OutcomeHalfLife time.Duration
	// MinSamples is how many outcomes a server is judged by.
	MinSamples float64
	// MaxEjectedShare is the greatest share of a pool that is ejected.
	MaxEjectedShare float64
	// LatencyFactor is how far above the median a latency is an outlier.
	LatencyFactor float64
	// ErrorMargin is how far above the median an error rate is an outlier.
	ErrorMargin float64
	// InitialProbeDelay is the time from the first ejection to the first probe. It
	// doubles with each ejection or failed probe.
	InitialProbeDelay time.Duration
	// MaxProbeDelay bounds the time between probes.
	MaxProbeDelay time.Duration
	// ReportTimeout is how long a server that the list lacks is kept for its own
	// reports.
	ReportTimeout time.Duration
	// SilenceTimeout is how long after its last report a server is used only where
	// the others that were drawn are silent too.
	SilenceTimeout time.Duration
	// UnlistedRetention is how long a server that the list lacks is remembered, so
	// that a late list can't bring it back.
	UnlistedRetention time.Duration
	// DefaultCapacity stands for the capacity of a server that said none.
	DefaultCapacity int
}

func (p Policy) withDefaults() Policy {
	setDefault(&p.Choices, 3)
	setDefault(&p.AffinityBound, 1.5)
	setDefault(&p.AffinityCeiling, 1)
	setDefault(&p.MaxPrefixes, 1<<15)
	setDefault(&p.PrefixTTL, 10*time.Minute)
	setDefault(&p.OutcomeHalfLife, time.Minute)
	setDefault(&p.MinSamples, 5)
	setDefault(&p.MaxEjectedShare, 0.34)
	setDefault(&p.LatencyFactor, 2.5)
	setDefault(&p.ErrorMargin, 0.25)
	setDefault(&p.InitialProbeDelay, time.Second)
	setDefault(&p.MaxProbeDelay, time.Minute)
	setDefault(&p.ReportTimeout, 5*time.Second)
	setDefault(&p.SilenceTimeout, 2*time.Second)
	setDefault(&p.UnlistedRetention, 15*time.Minute)
	setDefault(&p.DefaultCapacity, 1)

	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
