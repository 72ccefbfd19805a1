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

// earlierPart is the part of a common share that is granted for earlier requests.
const earlierPart = 0.5

// commonShare is the share of one of several processes that have the bound in common. Shares of each
// process's own requests in the last window would not add up: when callers move to another process,
// or one starts again, the requests of two successive windows are counted by different processes, and
// each of them would spend a share within one window.
//
// Instead, from any moment on, a process grants at most a part of the share for the requests in the
// window before that moment, and the rest of the share for the requests after it. Summed over
// processes, this does not depend on which of them counts a request.
type commonShare struct {
	// earlier is the part of the share for the requests before the moment.
	earlier float64
}

func (c commonShare) beyond(now time.Time, requests, retries *window.Counter, share float64) float64 {
	var (
		counted [retryBuckets + budgetBuckets]int64
		granted [retryBuckets]int64
	)

	requests.Newest(now, counted[:])
	retries.Newest(now, granted[:])

	// The moment lies in the bucket of age k. All retries of that bucket count, and none of its
	// requests, since some of them came before the moment and some after.
	before, after, sent := int64(0), int64(0), int64(0)
	for _, n := range counted[1:budgetBuckets] {
		before += n
	}

	most := 0.0

	for k, n := range granted {
		sent += n
		most = max(most, float64(sent)-share*(c.earlier*float64(before)+(1-c.earlier)*float64(after)))

		after += counted[k]
		before += counted[k+budgetBuckets] - counted[k+1]
	}

	return most
}
