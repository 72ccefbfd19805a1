package burn

import "time"

// Quantiles are the percentiles of a latency that reports show.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

func quantilesOf(counts []BucketCount) Quantiles {
	return Quantiles{P50: quantile(counts, 0.50), P95: quantile(counts, 0.95), P99: quantile(counts, 0.99)}
}

// quantile returns the end of the bucket that holds the q-th part.
func quantile(counts []BucketCount, q float64) time.Duration {
	total := uint64(0)
	for _, c := range counts {
		total += c.Count
	}

	seen := uint64(0)

	for _, c := range counts {
		seen += c.Count

		if float64(seen) >= q*float64(total) {
			return c.UpTo
		}
	}

	return 0
}
