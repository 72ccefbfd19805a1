package cmd

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"monsoonlever/clock"
	"monsoonlever/standin"
)

const exampleManifest = "../examples/kronvig.manifest.jsonc"

// operator runs commands against the log of a stand-in.
type operator struct {
	t   *testing.T
	url string
}

func newOperator(t *testing.T) operator {
	t.Helper()

	server := httptest.NewServer(standin.NewPlatform(clock.System{}).Handler())
	t.Cleanup(server.Close)

	return operator{t: t, url: server.URL}
}

func (o operator) run(args ...string) (code int, out, errOut string) {
	o.t.Helper()

	var outBuf, errBuf bytes.Buffer

	args = append(args, "--log", o.url, "--deployment", "kronvig")
	code = Main(args, &outBuf, &errBuf)

	return code, outBuf.String(), errBuf.String()
}

// changed writes a copy of the example with one replacement.
func (o operator) changed(old, replacement string) string {
	o.t.Helper()

	data, err := os.ReadFile(exampleManifest)
	if err != nil {
		o.t.Fatal(err)
	}

	if !bytes.Contains(data, []byte(old)) {
		o.t.Fatalf("example: got no %q, want one to replace", old)
	}

	name := filepath.Join(o.t.TempDir(), "changed.jsonc")
	if err := os.WriteFile(name, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o600); err != nil {
		o.t.Fatal(err)
	}

	return name
}

func TestOperatorsWhoRaceAreToldWhoWon(t *testing.T) {
	o := newOperator(t)

	if code, _, errOut := o.run("publish", exampleManifest, "--derived-from", "0", "--operator", "anna"); code != ExitOK {
		t.Fatalf("first publication: got exit code %d, %s, want %d", code, errOut, ExitOK)
	}

	winner := o.changed(`"deadline": "30s"`, `"deadline": "20s"`)
	if code, _, errOut := o.run("publish", winner, "--derived-from", "1", "--operator", "bo"); code != ExitOK {
		t.Fatalf("winner: got exit code %d, %s, want %d", code, errOut, ExitOK)
	}

	loser := o.changed(`"deadline": "30s"`, `"deadline": "25s"`)
	code, _, errOut := o.run("publish", loser, "--derived-from", "1", "--operator", "carl")

	if code != ExitConflict {
		t.Errorf("loser: got exit code %d, want %d", code, ExitConflict)
	}

	for _, want := range []string{"version 2", "bo", "deadline", "20s", "25s"} {
		if !strings.Contains(errOut, want) {
			t.Errorf("loser is told: got %q, want %q in it", errOut, want)
		}
	}

	code, out, _ := o.run("--output", "json", "current")
	if code != ExitOK {
		t.Fatalf("current: got exit code %d, want %d", code, ExitOK)
	}

	var current Current
	if err := json.Unmarshal([]byte(out), &current); err != nil {
		t.Fatal(err)
	}

	if current.Version != 2 || current.Operator != "bo" {
		t.Errorf("in force: got version %d by %s, want 2 by bo", current.Version, current.Operator)
	}
}

func TestFindingsStopAPublication(t *testing.T) {
	o := newOperator(t)
	bad := o.changed(`"kind": "plain"`, `"kind": "plane"`)

	code, _, errOut := o.run("publish", bad, "--derived-from", "0")
	if code != ExitFindings || !strings.Contains(errOut, "changed.jsonc:") || !strings.Contains(errOut, "services[1].kind") {
		t.Errorf("got exit code %d and %q, want %d and the finding with its place", code, errOut, ExitFindings)
	}

	if _, out, _ := o.run("--output", "json", "current"); !strings.Contains(out, `"version": 0`) {
		t.Errorf("in force: got %s, want version 0", out)
	}
}

func TestBadCommandLineIsAFinding(t *testing.T) {
	var out, errOut bytes.Buffer

	if got, want := Main([]string{"publish"}, &out, &errOut), ExitFindings; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}

	if errOut.Len() == 0 {
		t.Error("message: got none, want the missing arguments")
	}
}
