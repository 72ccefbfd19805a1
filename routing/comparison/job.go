package comparison

import (
	"math/rand/v2"
	"time"
)

// job is one request.
type job struct {
	arrival time.Duration
	entry   int
	prefix  uint64
	decode  int

	server   int
	answered Answered
}

// jobs returns the same stream of requests for every policy.
func (s Scenario) jobs() []*job {
	var (
		random = rand.New(rand.NewPCG(s.Seed, 1))
		zipf   = rand.NewZipf(random, prefixSkew, 1, uint64(prefixesPer*s.Servers-1))
		jobs   []*job
	)

	at := time.Duration(0)

	for {
		at += time.Duration(random.ExpFloat64() * float64(s.interArrival()))
		if at >= s.Duration {
			return jobs
		}

		jobs = append(jobs, &job{
			arrival: at,
			entry:   random.IntN(s.Entries),
			prefix:  zipf.Uint64() + 1,
			decode:  decodeLeast + random.IntN(decodeMost-decodeLeast),
		})
	}
}
