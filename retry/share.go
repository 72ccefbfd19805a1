package retry

import (
	"time"

	"monsoonlever/window"
)

// requestShare is the policy by which retries are compared with the requests that they are a share
// of.
type requestShare interface {
	// beyond returns by how many the retries exceed the share of the requests.
	beyond(now time.Time, requests, retries *window.Counter, share float64) float64
}

// ownShare is the share of a process that has the bound for itself.
type ownShare struct{}

func (ownShare) beyond(now time.Time, requests, retries *window.Counter, share float64) float64 {
	return float64(retries.Sum(now, retryBuckets)) - share*float64(requests.Sum(now, budgetBuckets))
}

// defaultBefore is the part of a common share that is granted for the requests before a moment.
const defaultBefore = 0.5

// commonShare is the share of one of several processes that have the bound in common. Requests
// reach other processes when one starts again or is lost, or when callers move: a share of the
// requests of each process's own window would be granted twice then, by the process that counted the
// requests before and by the one that counts those after.
//
// Since any moment on, a process grants no more than a part of the share of the requests in the window
// before that moment, and the rest of the share of the requests since. Both add up over processes,
// whichever of them counted a request.
type commonShare struct {
	// before is the part of the share that is granted for the requests before that moment.
	before float64
}

func (c commonShare) beyond(now time.Time, requests, retries *window.Counter, share float64) float64 {
	var (
		counted [retryBuckets + budgetBuckets]int64
		granted [retryBuckets]int64
	)

	requests.Newest(now, counted[:])
	retries.Newest(now, granted[:])

	// The moment lies in the bucket of age k, whose retries count and whose requests don't: some of
	// them came before it and some after.
	before, since, sent := int64(0), int64(0), int64(0)
	for _, n := range counted[1:budgetBuckets] {
		before += n
	}

	most := 0.0

	for k, n := range granted {
		sent += n
		most = max(most, float64(sent)-share*(c.before*float64(before)+(1-c.before)*float64(since)))

		since += counted[k]
		before += counted[k+budgetBuckets] - counted[k+1]
	}

	return most
}
