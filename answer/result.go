package answer

// Result tells how a request ended.
type Result struct {
	complete *Complete
	refusal  *GiveUp
	attempts int
	drops    Drops
}

// Whole tells whether the caller got the whole answer.
func (r Result) Whole() bool { return r.complete != nil }

// Complete returns the end of a whole answer.
func (r Result) Complete() (Complete, bool) {
	if r.complete == nil {
		return Complete{}, false
	}

	return *r.complete, true
}

// Refusal returns what the caller of a request was told that was given up.
func (r Result) Refusal() (GiveUp, bool) {
	if r.refusal == nil {
		return GiveUp{}, false
	}

	return *r.refusal, true
}

// Attempts returns how many attempts were made.
func (r Result) Attempts() int { return r.attempts }

// Drops returns the count of stream events that were not taken.
func (r Result) Drops() Drops { return r.drops }
