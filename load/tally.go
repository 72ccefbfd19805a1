package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonlever/refusal"
)

const (
	// latencyUnit is the resolution of the latency histograms.
	latencyUnit   = 10 * time.Microsecond
	maxLatency    = 2 * time.Hour
	latencyDigits = 3
	// lateStart is how long after its time a call may be sent before it counts
	// as late.
	lateStart = 10 * time.Millisecond
)

// tally counts what came of the calls of one kind.
type tally struct {
	call *CallMix

	mu         sync.Mutex
	result     KindResult
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
	refused    *hdrhistogram.Histogram
}

func newTally(call *CallMix) *tally {
	return &tally{
		call:       call,
		result:     KindResult{Service: call.Service, Kind: call.Kind},
		firstToken: newHistogram(),
		between:    newHistogram(),
		whole:      newHistogram(),
		refused:    newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		// The only error is a value out of range, which this is not.
		_ = h.RecordValue(int64(min(d, maxLatency) / latencyUnit))
	}
}

func (t *tally) scheduled(lateness time.Duration, skipped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.result.Scheduled++

	if skipped {
		t.result.Skipped++

		return
	}

	if lateness > lateStart {
		t.result.Late++
	}

	t.result.MaxLateness = max(t.result.MaxLateness, lateness)
}

func (t *tally) finished(f finished) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := &t.result
	r.Attempts += uint64(f.attempts)
	r.countEnding(f.ending)

	if f.code != "" {
		r.countCode(f.code, f.run)
	}

	if f.ending == Refused {
		record(t.refused, f.whole)

		if f.retryAfter > 0 {
			r.ToldWhenToRetry++
		}
	}

	if f.ending != Answered {
		return
	}

	r.Tokens += uint64(f.tokens)
	record(t.firstToken, f.firstToken)
	record(t.between, f.betweenTokens)
	record(t.whole, f.whole)
}

func (t *tally) snapshot() KindResult {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := t.result
	r.Endings = slices.Clone(r.Endings)
	r.Codes = slices.Clone(r.Codes)
	r.FirstToken = latencyOf(t.firstToken)
	r.BetweenTokens = latencyOf(t.between)
	r.Whole = latencyOf(t.whole)
	r.UntilRefused = latencyOf(t.refused)

	slices.SortFunc(r.Endings, func(a, b EndingCount) int { return cmp.Compare(a.Ending, b.Ending) })
	slices.SortFunc(r.Codes, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Run, b.Run))
	})

	return r
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * latencyUnit }

	return Latency{
		Count: uint64(h.TotalCount()),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   time.Duration(h.Max()) * latencyUnit,
	}
}

func (r *KindResult) countEnding(e Ending) {
	for i := range r.Endings {
		if r.Endings[i].Ending == e {
			r.Endings[i].Count++

			return
		}
	}

	r.Endings = append(r.Endings, EndingCount{Ending: e, Count: 1})
}

func (r *KindResult) countCode(code refusal.Code, run refusal.RunState) {
	for i := range r.Codes {
		if r.Codes[i].Code == code && r.Codes[i].Run == run {
			r.Codes[i].Count++

			return
		}
	}

	r.Codes = append(r.Codes, CodeCount{Code: code, Run: run, Count: 1})
}
