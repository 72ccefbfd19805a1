package gateway

import (
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// The environment variables in which demo/latency passes the targets of calls.
const (
	envEntry  = "MONSOONLEVER_LATENCY_ENTRY"
	envDirect = "MONSOONLEVER_LATENCY_DIRECT"
	envSecret = "MONSOONLEVER_LATENCY_SECRET"

	latencyRate     = 2000
	latencyWarmUp   = 3 * time.Second
	latencyDuration = 15 * time.Second
)

// path is a route to the plain service, with the latencies of its calls.
type path struct {
	url    string
	secret string
	client *http.Client

	mu        sync.Mutex
	latencies []time.Duration
	failed    int
}

func newPath(url, secret string) *path {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 512, DisableCompression: true}

	return &path{url: url, secret: secret, client: &http.Client{Transport: transport, Timeout: 5 * time.Second}}
}

// call sends one call and measures its latency from the time it was due, so that a
// delayed start counts as latency.
func (p *path) call(due time.Time, measured bool) {
	ok := p.send()
	latency := time.Since(due)

	if !measured {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if !ok {
		p.failed++
	}

	p.latencies = append(p.latencies, latency)
}

func (p *path) send() bool {
	r, err := http.NewRequest(http.MethodGet, p.url, nil)
	if err != nil {
		return false
	}

	if p.secret != "" {
		r.Header.Set("Authorization", "Bearer "+p.secret)
	}

	resp, err := p.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()

	_, err = io.Copy(io.Discard, resp.Body)

	return err == nil && resp.StatusCode == http.StatusOK
}

// quantile returns a quantile of the latencies, which must be sorted.
func (p *path) quantile(q float64) time.Duration {
	return p.latencies[min(int(q*float64(len(p.latencies))), len(p.latencies)-1)]
}

// TestAddedLatency measures the latency that the entry instance adds to a call, in an
// open loop: calls are due at fixed times, whether or not earlier calls have ended.
// Half an interval after each call, a direct call is sent to the same server. The
// test asserts no latency, since it depends on the load of the machine.
func TestAddedLatency(t *testing.T) {
	if os.Getenv(envEntry) == "" {
		t.Skip("only run by demo/latency")
	}

	const interval = time.Second / latencyRate

	entry := newPath(os.Getenv(envEntry)+"/services/payrun-api/approvals/7/status", os.Getenv(envSecret))
	direct := newPath(os.Getenv(envDirect)+"/approvals/7/status", "")

	var calls sync.WaitGroup

	start := time.Now()

	for i := range int((latencyWarmUp + latencyDuration) / interval) {
		for j, p := range []*path{entry, direct} {
			due := start.Add(time.Duration(i)*interval + time.Duration(j)*interval/2)
			time.Sleep(time.Until(due))
			calls.Go(func() { p.call(due, due.Sub(start) >= latencyWarmUp) })
		}
	}

	calls.Wait()

	for _, p := range []*path{entry, direct} {
		slices.Sort(p.latencies)

		if p.failed > 0 {
			t.Errorf("%s: got %d of %d calls failed, want none", p.url, p.failed, len(p.latencies))
		}
	}

	for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
		entryLatency, directLatency := entry.quantile(q), direct.quantile(q)
		t.Logf("p%g: entry %v, direct %v, added %v, ratio %.2f",
			100*q, entryLatency, directLatency, entryLatency-directLatency, float64(entryLatency)/float64(directLatency))
	}
}
