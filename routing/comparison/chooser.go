package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// Chooser is the decision of one entry instance.
type Chooser interface {
	// Choose returns a server for a request and what to call once it is answered.
	Choose(now time.Duration, prefix uint64) (int, DoneFunc)
	Report(now time.Duration, server int, r backend.LoadReport)
	CacheEvents(now time.Duration, server int, events []backend.CacheEvent)
	Tick(now time.Duration)
}

// DoneFunc tells a chooser that a request was answered.
type DoneFunc func(now, latency time.Duration, tokens int)

// Policy makes the chooser of each entry instance.
type Policy struct {
	Name string
	New  func(s Scenario, random *rand.PCG) Chooser
}

// Policies returns the baselines and, last, the policy of package routing.
func Policies() []Policy {
	return append(Baselines(), TablePolicy("routing.Table", DefaultTablePolicy))
}
