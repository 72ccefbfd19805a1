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
		t.Errorf("one of four servers reported: got %v, want unknown", got)
	}

	s.RecordLoad(now, "s-1", Load{Running: 2, Slots: 8})

	if got, known := s.Utilization(now, "llm"); !known || got != 0.5 {
		t.Errorf("two of four servers reported: got %v and %t, want 0.5", got, known)
	}

	if _, known := s.Utilization(now.Add(loadReportTTL), "llm"); known {
		t.Error("after loadReportTTL: got a known utilization, want unknown")
	}
}
