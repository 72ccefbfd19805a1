package resumption

import (
	"testing"
	"time"

	"monsoonlever/quarantine"
)

var (
	v1 = Origin{Service: "llm", Version: "v1"}
	v2 = Origin{Service: "llm", Version: "v2"}
)

// Checks what a table knows of the streams of one request: by attempt, or without one where all of
// them began at the same version.
func TestTableFind(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, c := range map[string]struct {
		began  map[Attempt]Origin
		find   Attempt
		after  time.Duration
		origin Origin
		result Result
	}{
		"the attempt":                       {began: map[Attempt]Origin{1: v1, 2: v2}, find: 2, origin: v2, result: Known},
		"another attempt":                   {began: map[Attempt]Origin{1: v1}, find: 2, result: Unknown},
		"no attempt, one version":           {began: map[Attempt]Origin{1: v1, 2: v1}, origin: v1, result: Known},
		"no attempt, two versions":          {began: map[Attempt]Origin{1: v1, 2: v2}, result: Ambiguous},
		"nothing":                           {result: Unknown},
		"after its lifetime":                {began: map[Attempt]Origin{1: v1}, find: 1, after: 2 * time.Minute, result: Unknown},
		"within its lifetime, at its limit": {began: map[Attempt]Origin{1: v1}, find: 1, after: time.Minute - 1, origin: v1, result: Known},
	} {
		t.Run(name, func(t *testing.T) {
			var tab table
			for attempt, o := range c.began {
				tab.add(now, Stream{Content: 7, Attempt: attempt}, o, now.Add(time.Minute))
			}

			got, result := tab.find(now.Add(c.after), Stream{Content: 7, Attempt: c.find})
			if got != c.origin || result != c.result {
				t.Errorf("got %v, %v, want %v, %v", got, result, c.origin, c.result)
			}
		})
	}
}

// Guards against a stream that goes on at one of two versions which records of it name.
func TestContradictingRecordsAreAmbiguous(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Stream{Content: 7, Attempt: 1}

	var tab table

	tab.add(now, s, v1, now.Add(time.Minute))
	tab.add(now, s, v2, now.Add(time.Minute))
	tab.add(now, s, v1, now.Add(time.Minute))

	if got, result := tab.find(now, s); result != Ambiguous {
		t.Errorf("got %v, %v, want %v", got, result, Ambiguous)
	}
}

// Guards against records without a bound: requests that differ, attempts of one request, and
// lifetimes that another instance names.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)

	var tab table

	for i := range 2 * maxStreams {
		tab.add(now, Stream{Content: quarantine.Fingerprint(i), Attempt: 1}, v1, now.Add(time.Hour))
	}

	if got := tab.len(); got > maxStreams {
		t.Errorf("records: got %d, want at most %d", got, maxStreams)
	}

	for i := range Attempt(2 * maxAttempts) {
		tab.add(now, Stream{Content: 7, Attempt: i + 1}, v1, now.Add(time.Minute))
	}

	if got := len(tab.requests[7]); got > maxAttempts {
		t.Errorf("attempts: got %d, want at most %d", got, maxAttempts)
	}

	later := now.Add(maxLifetime + sweepInterval)
	tab.add(later, Stream{Content: 8, Attempt: 1}, v1, later.Add(time.Minute))

	if got, want := tab.len(), 1; got != want {
		t.Errorf("records after their lifetime: got %d, want %d", got, want)
	}
}
