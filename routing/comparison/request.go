package comparison

import (
	"math/rand/v2"
	"time"
)

// request is one request and, once it has arrived, its server.
type request struct {
	arrival      time.Duration
	entry        int
	prefix       uint64
	decodeTokens int

	server int
	done   DoneFunc
}

// requests returns the request stream of the scenario, which is the same for every
// policy.
func (s Scenario) requests() []*request {
	var (
		random   = rand.New(rand.NewPCG(s.Seed, 1))
		zipf     = rand.NewZipf(random, prefixZipfExponent, 1, uint64(prefixesPerServer*s.Servers-1))
		requests []*request
	)

	arrival := time.Duration(0)

	for {
		arrival += time.Duration(random.ExpFloat64() * float64(s.meanInterArrivalTime()))
		if arrival >= s.Duration {
			return requests
		}

		requests = append(requests, &request{
			arrival:      arrival,
			entry:        random.IntN(s.Entries),
			prefix:       zipf.Uint64() + 1,
			decodeTokens: minDecodeTokens + random.IntN(maxDecodeTokens-minDecodeTokens),
		})
	}
}
