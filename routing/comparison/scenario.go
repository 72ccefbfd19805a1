package comparison

import "time"

// The model of an engine and its requests.
const (
	slotsPerServer      = 8
	prefixTokens        = 2000
	suffixTokens        = 200
	prefillTimePerToken = 250 * time.Microsecond
	decodeTimePerToken  = 20 * time.Millisecond
	minDecodeTokens     = 50
	maxDecodeTokens     = 350
	prefixCacheSize     = 24
	prefixesPerServer   = 10
	prefixZipfExponent  = 1.1
)

// The model of the news that entry instances get.
const (
	reportInterval = 500 * time.Millisecond
	minLag         = 500 * time.Millisecond
	maxLag         = 2 * time.Second
	eventLossRate  = 0.05
	tickInterval   = 250 * time.Millisecond
)

// Scenario is one stream of requests and the servers that take it.
type Scenario struct {
	Servers int
	// Entries is how many entry instances decide, each alone.
	Entries int
	// Utilisation is the offered load as a share of all slots, were no prefix cached.
	Utilisation float64
	// SlowServers is how many servers are slow by SlowFactor though they look well.
	SlowServers int
	SlowFactor  float64
	Duration    time.Duration
	// WarmUp is the time whose requests aren't measured.
	WarmUp time.Duration
	Seed   uint64
}

// meanServiceTime is the mean time of a request in a slot, were no prefix cached.
func meanServiceTime() time.Duration {
	return (prefixTokens+suffixTokens)*prefillTimePerToken + (minDecodeTokens+maxDecodeTokens)/2*decodeTimePerToken
}

// meanInterArrivalTime is the mean time between two requests.
func (s Scenario) meanInterArrivalTime() time.Duration {
	slots := float64(s.Servers * slotsPerServer)

	return time.Duration(float64(meanServiceTime()) / (slots * s.Utilisation))
}
