package burn

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// histogramUnit is the width of the narrowest buckets.
	histogramUnit = 100 * time.Microsecond
	// histogramBits sets 16 buckets for each doubling, so 6 % of precision.
	histogramBits = 4
	histogramSub  = 1 << histogramBits
	// histogramSize reaches to more than an hour.
	histogramSize = 23 * histogramSub
)

// histogram counts durations in buckets that widen with the duration. It
// takes neither a lock nor memory on the path of a request, as the usual
// library's histograms would.
type histogram struct {
	buckets [histogramSize]atomic.Uint32
}

func (h *histogram) record(d time.Duration) {
	if d > 0 {
		h.buckets[bucketOf(d)].Add(1)
	}
}

func bucketOf(d time.Duration) int {
	v := uint64(d / histogramUnit)
	exponent := max(bits.Len64(v)-histogramBits-1, 0)
	i := exponent*histogramSub + int(v>>exponent)

	return min(i, histogramSize-1)
}

// upTo returns the end of a bucket.
func upTo(i int) time.Duration {
	exponent := max(i/histogramSub-1, 0)
	v := uint64(i-exponent*histogramSub) + 1

	return time.Duration(v<<exponent) * histogramUnit
}

func (h *histogram) counts() []BucketCount {
	var counts []BucketCount

	for i := range h.buckets {
		if n := h.buckets[i].Load(); n > 0 {
			counts = append(counts, BucketCount{UpTo: upTo(i), Count: uint64(n)})
		}
	}

	return counts
}
