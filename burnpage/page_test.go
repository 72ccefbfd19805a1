package burnpage_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"monsoonlever/burn"
	"monsoonlever/burnpage"
)

// sample returns a snapshot of an hour with a model service and a plain service. One account
// name is a script element, which the page must escape.
func sample() burn.Snapshot {
	start := time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)
	r := &burn.Recorder{Instance: "entry-1"}
	r.Configure(start, []burn.Objective{
		{Service: "ledger-llm", FirstToken: 450 * time.Millisecond, BetweenTokens: 70 * time.Millisecond, Part: 0.95},
		{Service: "payrun-api", Whole: 300 * time.Millisecond, Part: 0.999},
	})

	end := start.Add(time.Hour)
	for now := start; now.Before(end); now = now.Add(3 * time.Second) {
		r.Record(now, burn.Observation{
			Service: "ledger-llm", Account: "<script>alert(1)</script>", Kind: "recon", Reason: "overloaded",
		})
		r.Record(now, burn.Observation{
			Service: "payrun-api", Account: "wholesale-1", Kind: "bankFile", Whole: 45 * time.Millisecond,
		})
	}

	return r.Snapshot(end)
}

func TestPageHasPlotsAndEscapedNames(t *testing.T) {
	var b bytes.Buffer
	if err := burnpage.Write(&b, burn.NewReport(sample())); err != nil {
		t.Fatal(err)
	}

	for _, want := range []string{"<svg", "Burn rate by window", "&lt;script&gt;", "bankFile"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("page: got no %q", want)
		}
	}
}

func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	if err := burnpage.Write(&b, burn.NewReport(sample())); err != nil {
		t.Fatal(err)
	}

	for _, remote := range []string{"src=", "<link", "@import", "url(", "<script"} {
		if strings.Contains(b.String(), remote) {
			t.Errorf("page: got %q, want none", remote)
		}
	}

	if path := os.Getenv("BURN_PAGE"); path != "" {
		if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestEmptyReportRenders(t *testing.T) {
	var b bytes.Buffer
	if err := burnpage.Write(&b, burn.NewReport(burn.Merge())); err != nil {
		t.Fatal(err)
	}

	if want := "Nothing has been counted"; !strings.Contains(b.String(), want) {
		t.Errorf("page: got no %q", want)
	}
}
