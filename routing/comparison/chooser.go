package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// Chooser chooses servers on behalf of one entry instance.
type Chooser interface {
	// Choose returns the index of the server for a request, and the function to call
	// when the request is answered.
	Choose(now time.Duration, prefix uint64) (int, DoneFunc)
	Report(now time.Duration, server int, r backend.LoadReport)
	CacheEvents(now time.Duration, server int, events []backend.CacheEvent)
	Tick(now time.Duration)
}

// DoneFunc reports to a Chooser that a request was answered.
type DoneFunc func(now, latency time.Duration, tokens int)

// Policy is a named routing policy. New returns the Chooser of one entry instance.
type Policy struct {
	Name string
	New  func(s Scenario, random *rand.PCG) Chooser
}

// Policies returns the baselines followed by the policy of package routing.
func Policies() []Policy {
	return append(Baselines(), TablePolicy("routing.Table", DefaultTablePolicy))
}
