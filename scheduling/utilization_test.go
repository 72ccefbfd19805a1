package scheduling

import (
	"testing"
	"time"
)

func TestUtilizationNeedsReportsOfMostServers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := poolOf(4)

	s.RecordLoad(now, "s-0", Load{Running: 4, Waiting: 2, Slots: 8})

	if got, known := s.Utilization(now, "llm"); known {
		t.Errorf("one of four told: got %v, want it not known", got)
	}

	s.RecordLoad(now, "s-1", Load{Running: 2, Slots: 8})

	if got, known := s.Utilization(now, "llm"); !known || got != 0.5 {
		t.Errorf("two of four told: got %v and %t, want 0.5", got, known)
	}

	if _, known := s.Utilization(now.Add(loadReportTTL), "llm"); known {
		t.Error("after the life of reports: got it known, want it not")
	}
}
