package comparison

import "time"

// The model of an engine and its requests.
const (
	slotsPerServer = 8
	prefixTokens   = 2000
	ownTokens      = 200
	prefillTime    = 250 * time.Microsecond
	decodeTime     = 20 * time.Millisecond
	decodeLeast    = 50
	decodeMost     = 350
	cachedPrefixes = 24
	prefixesPer    = 10
	prefixSkew     = 1.1
)

// The model of the news that entry instances get.
const (
	reportEvery   = 500 * time.Millisecond
	reportLagMin  = 500 * time.Millisecond
	reportLagMax  = 2 * time.Second
	eventLossRate = 0.05
	tickEvery     = 250 * time.Millisecond
)

// Scenario is one stream of requests and the servers that take it.
type Scenario struct {
	Servers int
	// Entries is how many entry instances decide, each alone.
	Entries int
	// Utilisation is the offered load as a share of all slots, were no prefix cached.
	Utilisation float64
	// Grey is how many servers are slow by SlowFactor though they look well.
	Grey       int
	SlowFactor float64
	Duration   time.Duration
	// WarmUp is the time whose requests aren't measured.
	WarmUp time.Duration
	Seed   uint64
}

// serviceTime is the mean time of a request in a slot, were no prefix cached.
func serviceTime() time.Duration {
	return (prefixTokens+ownTokens)*prefillTime + (decodeLeast+decodeMost)/2*decodeTime
}

// interArrival is the mean time between two requests.
func (s Scenario) interArrival() time.Duration {
	slots := float64(s.Servers * slotsPerServer)

	return time.Duration(float64(serviceTime()) / (slots * s.Utilisation))
}
