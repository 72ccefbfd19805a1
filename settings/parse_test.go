package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"monsoonlever/finding"
)

func TestParseReportsEachFinding(t *testing.T) {
	data, err := os.ReadFile("../examples/kronvig.daemon.jsonc")
	if err != nil {
		t.Fatal(err)
	}

	tests := []struct {
		desc     string
		old, new string
		field    string
		message  string
	}{
		{"no instance", `"instance": "entry-ballerup-a-1",`, ``, "instance", "is missing"},
		{"a name with a space", `"dk-east"`, `"dk east"`, "region", "letters, digits"},
		{"a host name as listen address", `"callers": "127.0.0.1:8080"`, `"callers": "localhost:8080"`, "listen.callers", "IP number"},
		{"a port out of range", `"callers": "127.0.0.1:8080"`, `"callers": "127.0.0.1:80800"`, "listen.callers", "IP number"},
		{"an address used twice", `"peers": "127.0.0.1:8081"`, `"peers": "127.0.0.1:8080"`, "listen.peers", "must differ"},
		{"an unspecified peer address", `"peerAddress": "127.0.0.1:8081"`, `"peerAddress": "0.0.0.0:8081"`, "peerAddress", "peers dial"},
		{"a duplicate seed", `"127.0.0.1:8281"`, `"127.0.0.1:8181"`, "seeds[1]", "duplicate"},
		{"a URL with an unsupported scheme", `"http://127.0.0.1:7001"`, `"file:///tmp"`, "platform.log", "http or https"},
		{"TLS without a key", `"platform": {`, `"tls": { "certFile": "a", "caFile": "b" }, "platform": {`, "tls.keyFile", "is missing"},
		{"a drain timeout of zero", `"drainTimeout": "1h"`, `"drainTimeout": "0s"`, "drainTimeout", "above 0"},
		{"an append rate above the maximum", `"appendsPerSecond": 20`, `"appendsPerSecond": 9000`, "appendsPerSecond", "at most"},
		{"an unknown control mode", `"platform": {`, `"control": { "mode": "guess" }, "platform": {`, "control.mode", "must be"},
		{"a body limit of zero", `"maxBodyBytes": 8388608`, `"maxBodyBytes": 0`, "limits.maxBodyBytes", "above 0"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if !strings.Contains(string(data), tt.old) {
				t.Fatalf("%q is not in the example", tt.old)
			}

			_, err := Parse("d", []byte(strings.Replace(string(data), tt.old, tt.new, 1)))

			var list *finding.Error
			if !errors.As(err, &list) || len(list.Items()) != 1 {
				t.Fatalf("findings: got %v, want one", err)
			}

			if f := list.Items()[0]; f.Field != tt.field || !strings.Contains(f.Message, tt.message) || f.Line == 0 {
				t.Errorf("finding: got %v, want %s: …%s…", f, tt.field, tt.message)
			}
		})
	}
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("d", []byte(`{
		"instance": "i", "region": "r", "failureDomain": "d",
		"listen": { "callers": ":1", "peers": ":2", "operators": ":3" }, "peerAddress": "10.0.0.1:2",
		"platform": { "log": "http://l", "list": "http://l", "cloud": "http://l", "weights": "http://l" } }`))
	if err != nil {
		t.Fatal(err)
	}

	if s.Deployment != defaultDeployment || s.DrainTimeout != defaultDrainTimeout || s.Limits != defaultLimits() || s.Control.Mode != ControlObserve {
		t.Errorf("defaults: got %+v", s)
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	if _, err := Load("testdata/none.jsonc"); err == nil || !strings.Contains(err.Error(), "read settings") {
		t.Errorf("error: got %v, want one with \"read settings\"", err)
	}
}
