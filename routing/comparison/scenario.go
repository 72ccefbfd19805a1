package comparison

import "time"

// Parameters of the simulated engines and requests.
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

// Parameters of the load reports, cache events and ticks at the entry instances.
const (
	reportInterval = 500 * time.Millisecond
	minLag         = 500 * time.Millisecond
	maxLag         = 2 * time.Second
	eventLossRate  = 0.05
	tickInterval   = 250 * time.Millisecond
)

// Scenario describes the servers, the entry instances and the request stream of a
// simulation.
type Scenario struct {
	Servers int
	// Entries is the number of entry instances, each of which chooses independently.
	Entries int
	// Utilisation is the offered load as a fraction of the slots of all servers, if
	// every prefix had to be computed.
	Utilisation float64
	// SlowServers is the number of servers that take SlowFactor times as long for each
	// request, while their load reports look healthy (a gray failure).
	SlowServers int
	SlowFactor  float64
	Duration    time.Duration
	// WarmUp is the initial time whose requests aren't measured.
	WarmUp time.Duration
	Seed   uint64
}

// meanServiceTime returns the mean time that a request holds a slot if its prefix has
// to be computed.
func meanServiceTime() time.Duration {
	return (prefixTokens+suffixTokens)*prefillTimePerToken + (minDecodeTokens+maxDecodeTokens)/2*decodeTimePerToken
}

// meanInterArrivalTime returns the mean time between two arrivals.
func (s Scenario) meanInterArrivalTime() time.Duration {
	slots := float64(s.Servers * slotsPerServer)

	return time.Duration(float64(meanServiceTime()) / (slots * s.Utilisation))
}
