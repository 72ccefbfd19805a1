package settings

import (
	"path/filepath"
	"testing"
	"time"
)

func TestExampleHasNoFinding(t *testing.T) {
	s, err := Load(filepath.Join("..", "examples", "kronvig.daemon.jsonc"))
	if err != nil {
		t.Fatalf("example has findings:\n%v", err)
	}

	if got, want := s.DrainTimeout, time.Hour; got != want {
		t.Errorf("drain timeout: got %v, want %v", got, want)
	}

	if got, want := string(s.FailureDomain), "ballerup-a"; got != want {
		t.Errorf("failure domain: got %q, want %q", got, want)
	}
}
