package load

import (
	"encoding/json"
	"io"
	"time"

	"monsoonlever/burn"
	"monsoonlever/fleet"
	"monsoonlever/refusal"
)

// Result is what a run measured. Durations in its JSON are in nanoseconds.
type Result struct {
	Mix      string        `json:"mix"`
	Seed     uint64        `json:"seed"`
	Started  time.Time     `json:"started"`
	Duration time.Duration `json:"duration"`
	Kinds    []KindResult  `json:"kinds"`
	// Broken lists broken promises, up to a bound; BrokenCount counts them all.
	Broken      []Breach      `json:"broken"`
	BrokenCount int           `json:"brokenCount"`
	Keys        KeyResult     `json:"keys"`
	Faults      []FaultResult `json:"faults"`
	// Burn is what the burn report is made of, as the callers saw it.
	Burn burn.Snapshot `json:"burn"`
}

// KindResult is what came of one kind of call.
type KindResult struct {
	Service   fleet.Service  `json:"service"`
	Kind      fleet.CallKind `json:"kind"`
	Scheduled uint64         `json:"scheduled"`
	// Skipped calls were not sent, since too many were in flight.
	Skipped uint64 `json:"skipped"`
	// Late calls were sent late by this tool, which their latency includes.
	Late        uint64        `json:"late"`
	MaxLateness time.Duration `json:"maxLateness"`
	Attempts    uint64        `json:"attempts"`
	Endings     []EndingCount `json:"endings"`
	Codes       []CodeCount   `json:"codes"`
	// ToldWhenToRetry counts the refusals with a time to come back.
	ToldWhenToRetry uint64  `json:"toldWhenToRetry"`
	Tokens          uint64  `json:"tokens"`
	FirstToken      Latency `json:"firstToken"`
	BetweenTokens   Latency `json:"betweenTokens"`
	Whole           Latency `json:"whole"`
	// UntilRefused is the time until a refusal: a caller whose request is given
	// up must hear of it at once.
	UntilRefused Latency `json:"untilRefused"`
}

// EndingCount counts calls by their ending.
type EndingCount struct {
	Ending Ending `json:"ending"`
	Count  uint64 `json:"count"`
}

// CodeCount counts calls by the code they were refused or failed with.
type CodeCount struct {
	Code  refusal.Code     `json:"code"`
	Run   refusal.RunState `json:"run"`
	Count uint64           `json:"count"`
}

// Latency sums up latencies, which count from when the calls were due.
type Latency struct {
	Count uint64        `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// KeyResult compares keyed calls with what plain services ran.
type KeyResult struct {
	// Checked tells whether all plain services could be asked.
	Checked   bool `json:"checked"`
	Sent      int  `json:"sent"`
	Executed  int  `json:"executed"`
	Twice     int  `json:"twice"`
	Untrue    int  `json:"untrue"`
	Unknown   int  `json:"unknown"`
	Confirmed int  `json:"confirmed"`
}

// FaultResult tells of one fault that was posted.
type FaultResult struct {
	At     time.Duration `json:"at"`
	Server string        `json:"server"`
	Path   string        `json:"path"`
	Body   string        `json:"body"`
	Error  string        `json:"error,omitempty"`
}

// Kept tells whether no promise was broken.
func (r *Result) Kept() bool {
	return r.BrokenCount == 0
}

// Count returns how many calls of the kind ended so.
func (r *KindResult) Count(e Ending) uint64 {
	for _, c := range r.Endings {
		if c.Ending == e {
			return c.Count
		}
	}

	return 0
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")

	return e.Encode(r)
}
