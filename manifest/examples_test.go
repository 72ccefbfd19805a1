package manifest

import (
	"os"
	"path/filepath"
	"testing"

	"monsoonlever/fleet"
)

func load(t *testing.T, name string) *Manifest {
	t.Helper()

	path := filepath.Join("..", "examples", name)

	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read example: %v", err)
	}

	m, err := Parse(path, data)
	if err != nil {
		t.Fatalf("example has findings:\n%v", err)
	}

	return m
}

func TestExamplesHaveNoFinding(t *testing.T) {
	tests := []struct {
		desc           string
		file           string
		account        fleet.Account
		plain          fleet.Service
		method         string
		path           string
		wantCall       fleet.CallKind
		wantIdempotent bool
	}{
		{
			desc: "a bank file is submitted at most once", file: "kronvig.manifest.jsonc",
			account: "nordhavn-engros", plain: "payrun-api",
			method: "POST", path: "/bank-files", wantCall: "submit-bank-file",
		},
		{
			desc: "an approval's status may be asked again", file: "kronvig.manifest.jsonc",
			account: "amager-papir", plain: "payrun-api",
			method: "GET", path: "/approvals/17/status", wantCall: "approval-status", wantIdempotent: true,
		},
		{
			desc: "a letter is dispatched at most once", file: "abyssinia.manifest.jsonc",
			account: "head-office", plain: "counter-app",
			method: "POST", path: "/letters/17/dispatch", wantCall: "dispatch-letter",
		},
		{
			desc: "an enrolment's status may be asked again", file: "abyssinia.manifest.jsonc",
			account: "addis-centres", plain: "counter-app",
			method: "GET", path: "/enrolments/17/status", wantCall: "enrolment-status", wantIdempotent: true,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			m := load(t, tt.file)

			if got, want := len(m.Accounts()), 5; got != want {
				t.Errorf("accounts: got %d, want %d", got, want)
			}

			if got, want := len(m.Regions()[0].FailureDomains()), 4; got != want {
				t.Errorf("failure domains: got %d, want %d", got, want)
			}

			account, ok := m.AccountByKey("demo-key-" + string(tt.account))
			if !ok || account.Name() != tt.account || !account.Allows(tt.plain) {
				t.Errorf("account by key: got %v, %v, want %s with %s", account, ok, tt.account, tt.plain)
			}

			call, ok := m.Call(tt.plain, tt.method, tt.path)
			if !ok || call.Name() != tt.wantCall || call.Idempotent() != tt.wantIdempotent {
				t.Errorf("call: got %v, %v, want %s", call, ok, tt.wantCall)
			}

			if got, want := call.KeyWindow() > 0, !tt.wantIdempotent; got != want {
				t.Errorf("has a key window: got %v, want %v", got, want)
			}
		})
	}
}
