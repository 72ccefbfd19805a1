package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// LoadReport is how many requests a server had in progress or waiting when it answered
// this instance.
type LoadReport struct {
	Server   fleet.InstanceID
	Requests int
	Age      time.Duration
}

// Reports returns what servers told this instance of their load within a span, for the
// other instances: each of many instances has an answer of a server only every few
// seconds, all together several a second.
func (s *Scheduler) Reports(now time.Time, within time.Duration) []LoadReport {
	var reports []LoadReport

	pools := s.current.Load()
	if pools == nil {
		return nil
	}

	for _, pool := range *pools {
		for _, one := range pool {
			if requests, age, ok := one.newest(now, within); ok {
				reports = append(reports, LoadReport{Server: one.entry().ID, Requests: requests, Age: age})
			}
		}
	}

	return reports
}

// Hear takes in what servers told other instances.
func (s *Scheduler) Hear(now time.Time, reports []LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, r := range reports {
		if one := s.servers[r.Server]; one != nil {
			one.mu.Lock()
			one.hear(now.Add(-r.Age), r.Requests)
			one.mu.Unlock()
		}
	}
}

func (s *server) newest(now time.Time, within time.Duration) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	age := now.Sub(s.toldAt)

	return s.told, age, age < within
}
