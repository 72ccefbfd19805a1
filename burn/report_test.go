package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// sample is the snapshot of a day at one of the users.
func sample() Snapshot {
	r := &Recorder{Instance: "entry-1"}
	r.Configure(start, []Objective{
		{Service: "ledger-llm", FirstToken: 450 * time.Millisecond, BetweenTokens: 70 * time.Millisecond, Part: 0.95},
		{Service: "payrun-api", Whole: 300 * time.Millisecond, Part: 0.999},
	})

	random := rand.New(rand.NewPCG(1, 2))
	end := start.Add(5 * time.Hour)

	for now := start; now.Before(end); now = now.Add(3 * time.Second) {
		account := fleet.Account(fmt.Sprintf("wholesale-%d", random.IntN(5)+1))
		r.Record(now, sampleModelCall(random, account, end.Sub(now) < time.Hour))
		r.Record(now, Observation{
			Service: "payrun-api", Account: account, Kind: "bankFile",
			Whole: time.Duration(40+random.ExpFloat64()*45) * time.Millisecond,
		})
	}

	r.AddCost("ledger-llm", 31.2)
	r.AddCost("payrun-api", 2.4)

	return r.Snapshot(end)
}

func sampleModelCall(random *rand.Rand, account fleet.Account, disturbed bool) Observation {
	slower := 1.0
	if disturbed {
		slower = 1.8
	}

	o := Observation{
		Service: "ledger-llm", Account: account, Kind: "reconcile",
		FirstToken:    time.Duration(slower * (150 + random.ExpFloat64()*70) * float64(time.Millisecond)),
		BetweenTokens: time.Duration(slower * (25 + random.Float64()*20) * float64(time.Millisecond)),
		Whole:         time.Duration(slower * (3 + random.ExpFloat64()*4) * float64(time.Second)),
		Tokens:        100 + random.IntN(400),
	}

	switch p := random.Float64(); {
	case disturbed && p < 0.06:
		o.Outcome, o.Reason = Refused, "overloaded"
	case disturbed && p < 0.1:
		o.RecomputedTokens = random.IntN(200)
	case p > 0.99:
		o.Outcome, o.Reason, o.Excused = Refused, "limitExceeded", true
	}

	return o
}

func TestBurnRate(t *testing.T) {
	tests := []struct {
		desc     string
		bad      int
		of       int
		wantRate float64
		wantLeft float64
		want     State
	}{
		{desc: "none counted", of: 0, wantLeft: 1, want: Quiet},
		{desc: "all good", of: 1000, wantLeft: 1, want: OK},
		{desc: "half of what is allowed", bad: 25, of: 1000, wantRate: 0.5, wantLeft: 0.5, want: OK},
		{desc: "all of what is allowed", bad: 50, of: 1000, wantRate: 1, wantLeft: 0, want: Exhausted},
		{desc: "more than half of what is allowed", bad: 30, of: 1000, wantRate: 0.6, wantLeft: 0.4, want: OK},
		{desc: "most are bad", bad: 900, of: 1000, wantRate: 18, wantLeft: -17, want: FastBurn},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := &Recorder{}
			r.Configure(start.Add(-budgetTime), []Objective{{Service: "ledger-llm", Part: 0.95}})
			r.Record(start, Observation{Service: "ledger-llm", Excused: true, Outcome: Refused})

			for i := range tt.of {
				o := Observation{Service: "ledger-llm"}
				if i < tt.bad {
					o.Outcome = Failed
				}

				r.Record(start, o)
			}

			row := NewReport(r.Snapshot(start)).Rows[0]

			if got := row.Windows[0].BurnRate; fmt.Sprintf("%.3f", got) != fmt.Sprintf("%.3f", tt.wantRate) {
				t.Errorf("burn rate: got %.3f, want %.3f", got, tt.wantRate)
			}

			if got := row.BudgetLeft; math.Abs(got-tt.wantLeft) > 1e-6 {
				t.Errorf("budget left: got %.3f, want %.3f", got, tt.wantLeft)
			}

			if got := row.State; got != tt.want {
				t.Errorf("state: got %s, want %s", got, tt.want)
			}
		})
	}
}

func TestCostIsPerAnswerWithinTheTargets(t *testing.T) {
	r := &Recorder{}
	r.Configure(start, []Objective{{Service: "ledger-llm", Whole: time.Second, Part: 0.95}})

	for _, whole := range []time.Duration{time.Second, 2 * time.Second} {
		r.Record(start, Observation{Service: "ledger-llm", Whole: whole, Tokens: 100, RecomputedTokens: 50})
	}

	r.AddCost("ledger-llm", 2)

	got := NewReport(r.Snapshot(start)).Services[0]
	got.Points = nil
	want := ServiceRow{
		Service: "ledger-llm", Requests: 2, Good: 1, Attained: 0.5,
		Cost: 2, CostPerThousandAnswers: 2000, CostPerMillionTokens: 20000,
		Tokens: 200, RecomputedTokens: 100, RecomputedPart: 0.5,
	}

	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("service: got %+v, want %+v", got, want)
	}
}

func TestRenderers(t *testing.T) {
	s := sample()
	s.Series[0].Account = "<script>alert(1)</script>"
	report := NewReport(s)

	tests := []struct {
		desc  string
		write func(*bytes.Buffer) error
		want  []string
	}{
		{
			desc:  "table",
			write: func(b *bytes.Buffer) error { return report.WriteTable(b) },
			want:  []string{"BUDGET LEFT", "bankFile", "PER 1000 GOOD", "overloaded"},
		},
		{
			desc:  "JSON",
			write: func(b *bytes.Buffer) error { return report.WriteJSON(b) },
			want:  []string{`"burnRate"`, `"recomputedTokens"`},
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var b bytes.Buffer
			if err := tt.write(&b); err != nil {
				t.Fatal(err)
			}

			for _, want := range tt.want {
				if !strings.Contains(b.String(), want) {
					t.Errorf("got no %q", want)
				}
			}
		})
	}
}

func TestFetch(t *testing.T) {
	s := sample()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case Path:
			_ = json.NewEncoder(w).Encode(s)
		case "/run.json":
			_ = json.NewEncoder(w).Encode(run{Burn: &s})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()

	urls := []string{server.URL + Path, server.URL + "/run.json", server.URL + "/nothing"}
	got, err := Fetch(context.Background(), server.Client(), urls)

	if err == nil || !strings.Contains(err.Error(), "/nothing") {
		t.Errorf("error: got %v, want one that names the address that failed", err)
	}

	if len(got) != 2 {
		t.Fatalf("snapshots: got %d, want 2", len(got))
	}

	report, want := NewReport(Merge(got...)), NewReport(s)
	if got, want := report.Services[0].Good, 2*want.Services[0].Good; got != want {
		t.Errorf("good requests of both: got %d, want %d", got, want)
	}
}
