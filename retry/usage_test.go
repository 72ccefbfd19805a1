package retry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/clock"
)

// Guards against a total above the bound that no metric shows.
func TestUsageOfWindowIsReported(t *testing.T) {
	set := metrics.NewSet()
	c := clock.NewManual(testStart)

	b := NewBudgets(BudgetPolicy{Share: 0.5})
	b.Counters = NewCounters(set, c)
	b.SetMinRetries(testStart, 2)

	budget := b.Of(testScope)
	for range 4 {
		budget.CountRequest(testStart)
	}

	for range 3 {
		budget.Take(testStart)
	}

	got := budget.Usage(testStart)
	if got.Requests() != 4 || got.Retries() != 3 || got.Fixed() != 2 {
		t.Errorf("usage: got %d requests, %d retries and %v, want 4, 3 and 2", got.Requests(), got.Retries(), got.Fixed())
	}

	var text bytes.Buffer

	set.WritePrometheus(&text)

	if want := `count="retries"} 3`; !strings.Contains(text.String(), want) {
		t.Errorf("metrics: got %s, want %s", text.String(), want)
	}
}

// Guards against a log line for each refused retry.
func TestRefusalIsMarkedOnceInWindow(t *testing.T) {
	budget := NewBudgets(BudgetPolicy{Window: 10 * time.Second}).Of(testScope)

	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {9 * time.Second, false}, {10 * time.Second, true}, {11 * time.Second, false}} {
		if got := budget.MarkRefused(testStart.Add(tt.after)); got != tt.want {
			t.Errorf("refusal after %v: got %t, want %t", tt.after, got, tt.want)
		}
	}
}
