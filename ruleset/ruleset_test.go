package ruleset

import (
	"strings"
	"testing"
)

func testSpec() Spec {
	return Spec{
		Version:  3,
		Services: []Service{{Name: "ledger-llm"}, {Name: "payrun-api"}},
		Accounts: []Account{{Name: "wholesale-1", Keys: []string{"k1", "k2"}}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{"payrun-api", 1}}},
			{Name: "recon", Host: "a.example", Prefix: "/recon/", Targets: []Target{{"ledger-llm", 3}, {"payrun-api", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/recon/deep/", Targets: []Target{{"ledger-llm", 1}}},
		},
	}
}

func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	r, err := New(testSpec())
	if err != nil {
		t.Fatal(err)
	}

	tests := []struct{ host, path, want string }{
		{"a.example", "/recon/deep/1", "deep"},
		{"A.example:8221", "/recon/1", "recon"},
		{"a.example", "/recon", "all"},
		{"a.example", "/reconx/1", "all"},
		{"b.example", "/recon/1", ""},
	}

	for _, tt := range tests {
		got := ""
		if route, ok := r.Match(tt.host, tt.path); ok {
			got = route.Name
		}

		if got != tt.want {
			t.Errorf("%s%s: got route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r, err := New(testSpec())
	if err != nil {
		t.Fatal(err)
	}

	route, _ := r.Match("a.example", "/recon/1")

	for _, tt := range []struct {
		draw float64
		want string
	}{{0, "ledger-llm"}, {0.74, "ledger-llm"}, {0.76, "payrun-api"}, {0.999, "payrun-api"}} {
		if got := string(route.PickService(tt.draw)); got != tt.want {
			t.Errorf("draw %v: got %q, want %q", tt.draw, got, tt.want)
		}
	}
}

func TestNewReportsEveryFinding(t *testing.T) {
	s := testSpec()
	s.Routes[0].Prefix = "recon"
	s.Routes[1].Targets = nil
	s.Routes[2].Targets = []Target{{"nobody", 1}}
	s.Accounts = append(s.Accounts, Account{Name: "wholesale-2", Keys: []string{"k1"}})
	s.Services = append(s.Services, Service{Name: "payrun-api"})

	_, err := New(s)
	if err == nil {
		t.Fatal("got no error, want findings")
	}

	for _, want := range []string{"routes[0]", "routes[1]", `"nobody"`, `shares a key with "wholesale-1"`, "services[2]"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want a finding with %q", err, want)
		}
	}
}
