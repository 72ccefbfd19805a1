package routing

import "time"

// Policy holds the settings of a table. A zero field selects its default.
type Policy struct {
	// Choices is the number of servers that are drawn for a request, of which the most
	// preferred is picked.
	Choices int
	// AffinityBound is the maximum utilisation of a server that is picked for its
	// cached prefix, as a multiple of the mean utilisation of its pool with one more
	// request.
	AffinityBound float64
	// AffinityCeiling is the upper limit of the affinity bound. Above this utilisation,
	// the wait for a slot costs more than a cached prefix saves.
	AffinityCeiling float64
	// MaxPrefixes is the capacity of the prefix index, in pairs of a prefix and a
	// server.
	MaxPrefixes int
	// PrefixTTL is how long an entry of the prefix index is valid.
	PrefixTTL time.Duration
	// OutcomeHalfLife is the time in which the outcome of a call loses half its weight.
	OutcomeHalfLife time.Duration
	// MinSamples is the minimum number of weighted outcomes by which a server is
	// evaluated.
	MinSamples float64
	// MaxEjectedShare is the maximum share of the servers of a pool that may be
	// ejected.
	MaxEjectedShare float64
	// LatencyFactor is the multiple of the median latency above which a server is an
	// outlier.
	LatencyFactor float64
	// ErrorMargin is how far an error rate must exceed the median for the server to be
	// an outlier, as an absolute difference.
	ErrorMargin float64
	// InitialProbeDelay is the maximum time from the first ejection to the first probe.
	// It doubles with each further ejection or failed probe.
	InitialProbeDelay time.Duration
	// MaxProbeDelay is the maximum time between probes.
	MaxProbeDelay time.Duration
	// ReportTimeout is how long after its last load report or engine state a server
	// that is missing from the instance list still gets requests.
	ReportTimeout time.Duration
	// SilenceTimeout is how long after its last load report or engine state a server
	// counts as silent. Among the drawn servers, a silent one is picked only if all the
	// others are silent or can't be dialed.
	SilenceTimeout time.Duration
	// UnlistedRetention is how long the state of a server that is missing from the
	// instance list is retained, so that an outdated list can't make a leaving server
	// available again.
	UnlistedRetention time.Duration
	// DefaultCapacity is the capacity of a server that reported none, in concurrent
	// requests.
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
