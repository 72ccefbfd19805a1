package quarantine

import (
	"testing"

	"monsoonlever/fleet"
)

func TestFingerprintDependsOnEveryRequestField(t *testing.T) {
	type requestFields struct {
		account, method, host, target, body string
	}

	of := func(a requestFields) Fingerprint {
		return FingerprintOf(fleet.Account(a.account), a.method, a.host, a.target, []byte(a.body))
	}

	base := requestFields{"acme", "POST", "a.example", "/talk/1", "hello"}
	if got, want := of(base), of(base); got != want {
		t.Errorf("same request: got %v, want %v", got, want)
	}

	for name, other := range map[string]requestFields{
		"account":                 {"other", "POST", "a.example", "/talk/1", "hello"},
		"method":                  {"acme", "PUT", "a.example", "/talk/1", "hello"},
		"host":                    {"acme", "POST", "b.example", "/talk/1", "hello"},
		"target":                  {"acme", "POST", "a.example", "/talk/1?x=1", "hello"},
		"body":                    {"acme", "POST", "a.example", "/talk/1", "hello!"},
		"split of the same bytes": {"acme", "POST", "a.example", "/talk/", "1hello"},
	} {
		if of(other) == of(base) {
			t.Errorf("different %s: got the same fingerprint, want a different one", name)
		}
	}
}
