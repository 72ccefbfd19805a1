package manifest

import (
	"errors"
	"os"
	"strings"
	"testing"

	"monsoonlever/finding"
)

func kronvig(tb testing.TB) string {
	tb.Helper()

	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		tb.Fatal(err)
	}

	return string(data)
}

func TestParseReportsWhatContradictsItself(t *testing.T) {
	tests := []struct {
		desc     string
		old, new string
		field    string
		message  string
	}{
		{"an unknown model", `"models": ["ledger-large"]`, `"models": ["ledger-small"]`, "services[0].models[0]", "unknown model"},
		{"an unknown class", `"classes": ["gpu-large"]`, `"classes": ["gpu-huge"]`, "services[0].classes[0]", "no failure domain has"},
		{"an unknown failure domain", `"classes": ["gpu-large"],`, `"classes": ["gpu-large"], "failureDomains": ["x"],`, "services[0].failureDomains[0]", "unknown failure domain"},
		{"an unknown service of an account", `"services": ["payrun-api", "ledger-llm"]`, `"services": ["payrun"]`, "accounts[4].services[0]", "unknown service"},
		{"an unknown service in the capacity", `"service": "payrun-api"`, `"service": "payrun"`, "capacity.services[1].service", "unknown service"},
		{"a service without capacity", `"service": "payrun-api"`, `"service": "payrun"`, "services[1]", "has no bounds"},
		{"a failure domain twice", `"name": "ballerup-b"`, `"name": "ballerup-a"`, "regions[0].failureDomains[1].name", "duplicate"},
		{"an account twice", `"name": "amager-papir"`, `"name": "aalborg-staal"`, "accounts[4].name", "duplicate"},
		{"a key window beyond the log's retention", `"keyWindow": "24h",
        }`, `"keyWindow": "100h" }`, "services[1].calls[0].keyWindow", "longer than the log"},
		{"a key window beyond what is remembered", `"keyWindow": "24h",
        }`, `"keyWindow": "30h" }`, "services[1].calls[0].keyWindow", "longer than keys are remembered"},
		{"a key that is forgotten before the deadline", `"keyWindow": "24h",
        }`, `"keyWindow": "1s" }`, "services[1].calls[0].keyWindow", "shorter than the deadline"},
		{"a failure domain without the service's classes", `"classes": ["cpu-medium"],`, `"classes": ["cpu-large"], "failureDomains": ["taastrup-2"],`, "services[1].failureDomains[0]", "none of the service's classes"},
		{"a hash that is none", `"keyHashes": ["`, `"keyHashes": ["x`, "accounts[0].keyHashes[0]", "SHA-256"},
		{"a key of two accounts", KeyHash("demo-key-amager-papir"), KeyHash("demo-key-nordhavn-engros"), "accounts[4].keyHashes[0]", "duplicate of a key of account nordhavn-engros"},
		{"an objective of all", `"objective": 0.95`, `"objective": 1`, "services[0].calls[0].objective", "share"},
		{"a plain call that does not say whether it may repeat", `"idempotent": false,`, ``, "services[1].calls[0].idempotent", "is missing"},
		{"a key window for an idempotent call", `"path": "/bank-files/:id",`, `"path": "/bank-files/:id", "keyWindow": "1h",`, "services[1].calls[1].keyWindow", "not idempotent"},
		{"a path that is two calls", `"method": "GET",
          "path": "/bank-files/:id"`, `"method": "POST", "path": "/:collection"`, "services[1].calls[1].path", "only one of them is idempotent"},
		{"a path without its slash", `"path": "/bank-files"`, `"path": "bank-files"`, "services[1].calls[0].path", "must be a path"},
		{"a minimum above the maximum", `"min": 4, "max": 8`, `"min": 9, "max": 8`, "capacity.services[1].min", "above max"},
		{"no failure domain left", `"spareFailureDomains": 1`, `"spareFailureDomains": 4`, "capacity.spareFailureDomains", "must leave"},
		{"a price of nothing", `"reclaimable": 92.0`, `"reclaimable": 0`, "regions[0].failureDomains[0].classes[0].pricePerHour.reclaimable", "above 0"},
		{"a model service without a token limit", `"tokensPerSecond": 30000`, `"tokensPerSecond": 0`, "accounts[0].limits.tokensPerSecond", "above 0"},
		{"a section missing", `"currency": "DKK",`, ``, "currency", "ISO 4217"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			text := kronvig(t)

			i := strings.Index(text, tt.old)
			if i < 0 {
				t.Fatalf("example holds no %q", tt.old)
			}

			line := 1 + strings.Count(text[:i], "\n")

			m, err := Parse("k", []byte(strings.Replace(text, tt.old, tt.new, 1)))

			var list *finding.Error
			if m != nil || !errors.As(err, &list) {
				t.Fatalf("parsed: got %v, %v, want findings", m, err)
			}

			for _, f := range list.Items() {
				if f.Field == tt.field && strings.Contains(f.Message, tt.message) && f.Line > 0 && f.Line <= line+2 {
					return
				}
			}

			t.Errorf("findings near line %d: got\n%v\nwant %s: …%s…", line, err, tt.field, tt.message)
		})
	}
}

func TestParseReportsAllFindingsTogether(t *testing.T) {
	text := strings.NewReplacer(`"weight": 40`, `"weight": -1`, `"deadline": "2m"`, `"deadline": "soon"`, `"accelerators": 8`, `"acelerators": 8`).Replace(kronvig(t))

	_, err := Parse("k", []byte(text))

	var list *finding.Error
	if !errors.As(err, &list) || len(list.Items()) != 6 {
		t.Errorf("findings: got\n%v\nwant 6", err)
	}
}

func TestCallTakesOnlyThePathsOfItsPattern(t *testing.T) {
	m := load(t, "kronvig.manifest.jsonc")

	tests := []struct {
		desc         string
		method, path string
		want         string
	}{
		{"a literal path", "POST", "/bank-files", "submit-bank-file"},
		{"a parameter", "GET", "/bank-files/17", "bank-file-status"},
		{"another method", "DELETE", "/bank-files/17", ""},
		{"a slash too many", "POST", "/bank-files/", ""},
		{"two slashes", "POST", "//bank-files", ""},
		{"an empty parameter", "GET", "/approvals//status", ""},
		{"a parameter that leads elsewhere", "GET", "/approvals/../status", ""},
		{"a longer path", "GET", "/approvals/17/status/x", ""},
		{"no path", "GET", "", ""},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			call, ok := m.Call("payrun-api", tt.method, tt.path)
			if ok != (tt.want != "") || ok && string(call.Name()) != tt.want {
				t.Errorf("call: got %v, want %q", ok, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(kronvig(f)))
	f.Add([]byte("{}"))
	f.Add([]byte(`{"services": [{"kind": "plain", "calls": [{"path": "/:a/b", "method": "GET"}, {"path": "/:/"}]}]}`))
	f.Add([]byte(`{"accounts": [{"keyHashes": ["zz", null]}], "capacity": {"services": [{}]}}`))

	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("fuzz", data)
		if (m == nil) == (err == nil) {
			t.Fatalf("parsed: got %v, %v, want one of them", m, err)
		}

		if err != nil {
			return
		}

		if changes := Diff(m, m); changes != nil {
			t.Errorf("changes from itself: got %v, want none", changes)
		}

		for _, s := range m.Services() {
			if s.Capacity().Max() < 1 || len(s.Calls()) == 0 {
				t.Errorf("service %s: got no capacity or call", s.Name())
			}
		}
	})
}

func BenchmarkAccountByKey(b *testing.B) {
	m, err := Parse("k", []byte(kronvig(b)))
	if err != nil {
		b.Fatal(err)
	}

	b.ReportAllocs()

	for b.Loop() {
		if _, ok := m.AccountByKey("demo-key-aalborg-staal"); !ok {
			b.Fatal("account not found")
		}
	}
}

func BenchmarkCall(b *testing.B) {
	m, err := Parse("k", []byte(kronvig(b)))
	if err != nil {
		b.Fatal(err)
	}

	b.ReportAllocs()

	for b.Loop() {
		if _, ok := m.Call("payrun-api", "GET", "/approvals/17/status"); !ok {
			b.Fatal("call not found")
		}
	}
}

func BenchmarkParse(b *testing.B) {
	data := []byte(kronvig(b))
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()

	for b.Loop() {
		if _, err := Parse("k", data); err != nil {
			b.Fatal(err)
		}
	}
}
