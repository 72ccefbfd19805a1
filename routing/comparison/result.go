package comparison

import (
	"fmt"
	"slices"
	"time"
)

// Result is the measurement of one policy in a scenario.
type Result struct {
	policy           string
	waits            []time.Duration
	ttfts            []time.Duration
	cacheHits        int
	recomputedTokens int
	imbalances       []float64
}

// Policy returns the name of the policy.
func (r *Result) Policy() string { return r.policy }

// Requests returns how many requests were measured.
func (r *Result) Requests() int { return len(r.waits) }

// Wait returns a quantile of the time that requests waited in the queue of a server.
func (r *Result) Wait(quantile float64) time.Duration { return quantileOf(r.waits, quantile) }

// FirstToken returns a quantile of the time to the first token.
func (r *Result) FirstToken(quantile float64) time.Duration { return quantileOf(r.ttfts, quantile) }

// HitShare returns the share of requests whose prefix was in the cache of their server.
func (r *Result) HitShare() float64 { return float64(r.cacheHits) / float64(len(r.waits)) }

// RecomputedTokens returns the number of prefix tokens that were computed although some
// server had computed the same prefix before.
func (r *Result) RecomputedTokens() int { return r.recomputedTokens }

// Imbalance returns the ratio of the maximum to the mean load of the servers, averaged
// over time.
func (r *Result) Imbalance() float64 {
	sum := 0.0
	for _, i := range r.imbalances {
		sum += i
	}

	return sum / float64(len(r.imbalances))
}

// Header returns the header of the Markdown table whose rows String returns.
func Header() string {
	return "| policy | wait p50 | p95 | p99 | first token p50 | p99 | cache hits | recomputed tokens | max/mean load |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns the result as a row of a Markdown table.
func (r *Result) String() string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %.1f%% | %d | %.2f |", r.policy,
		seconds(r.Wait(0.5)), seconds(r.Wait(0.95)), seconds(r.Wait(0.99)),
		seconds(r.FirstToken(0.5)), seconds(r.FirstToken(0.99)),
		100*r.HitShare(), r.recomputedTokens, r.Imbalance())
}

func (r *Result) sort() {
	slices.Sort(r.waits)
	slices.Sort(r.ttfts)
}

func quantileOf(sorted []time.Duration, quantile float64) time.Duration {
	return sorted[int(quantile*float64(len(sorted)-1))]
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
