package publication

import "monsoonlever/provider"

const (
	// tailRecords is how many of the newest records a new reader starts with. It
	// is more than lie between two checkpoints as a rule, so that a start costs
	// the same however much the log keeps.
	tailRecords provider.Offset = 2 * recordsPerCheckpoint
	// tailGrowth widens a tail without a checkpoint.
	tailGrowth = 8
	// readRecords bounds the records of one read.
	readRecords = 64
)

// request is the next read of the log.
type request struct {
	from  provider.Offset
	limit int
	// locate marks the first read, which is made to learn where the log ends.
	locate bool
}

// reader feeds a state from the log, at first from the log's tail.
type reader struct {
	state   *State
	width   provider.Offset
	located bool
}

func newReader(width provider.Offset) *reader {
	return &reader{state: NewState(), width: width}
}

// next returns the read to make.
func (r *reader) next() request {
	if !r.located {
		return request{from: 1, limit: 1, locate: true}
	}

	return request{from: r.state.Next(), limit: readRecords}
}

// apply takes the answer to a read and tells whether it reached the log's end.
func (r *reader) apply(q request, b provider.Batch) ([]Result, bool) {
	switch {
	case q.locate:
		r.locate(b)

		return nil, false
	case q.from != r.state.Next():
		// The state has adopted a checkpoint since.
		return nil, false
	}

	results := r.state.ApplyBatch(b)
	atEnd := r.state.Next() >= b.Next

	if atEnd && !r.state.Known() && r.state.runStart > b.First {
		r.width *= tailGrowth
		r.locate(b)

		return results, false
	}

	return results, atEnd
}

// adopt starts the state from a peer's checkpoint.
func (r *reader) adopt(c Checkpoint) Result {
	result := r.state.Adopt(c)
	r.located = r.located || result.Outcome() == Restored

	return result
}

// locate goes to the tail of the log.
func (r *reader) locate(b provider.Batch) {
	r.located = true

	from := max(b.First, 1)
	if b.Next > r.width {
		from = max(from, b.Next-r.width)
	}

	r.state.SkipTo(from)
}
