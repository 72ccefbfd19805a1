package publication

import (
	"bytes"

	"monsoonlever/manifest"
	"monsoonlever/provider"
)

// sourceName stands for the file in findings of a manifest from the log.
const sourceName = "manifest"

// State is the rule by which records put manifests in force, as a step machine.
// The zero value is not ready for use; NewState returns one.
type State struct {
	// current is the greatest version that is known to have been in force.
	current *Snapshot
	// next is the offset of the record to apply next.
	next provider.Offset
	// known tells whether current was in force just before next.
	known bool
	// runStart is the offset after the last gap: all records from there up to
	// next were seen.
	runStart provider.Offset
}

// NewState returns a state that starts at the log's first record ever, before
// which no manifest was in force.
func NewState() *State {
	return &State{current: &Snapshot{}, next: 1, known: true, runStart: 1}
}

// Next returns the offset from which to read.
func (s *State) Next() provider.Offset { return s.next }

// Known tells whether the version is the one in force just before Next. If it is
// not, a greater one may be.
func (s *State) Known() bool { return s.known }

// Version returns the greatest version that is known to have been in force.
func (s *State) Version() provider.Offset { return s.current.version }

// Snapshot returns that version's manifest.
func (s *State) Snapshot() *Snapshot { return s.current }

// SkipTo goes on at an offset without the records before it. A state that has
// missed records needs a checkpoint to know the version in force again.
func (s *State) SkipTo(offset provider.Offset) {
	s.next = offset
	s.runStart = offset
	s.known = offset == 1 && s.Version() == 0
}

// ApplyBatch applies the records of one read from Next and returns what each of
// them did. After a Restored the next read starts from an earlier record, so the
// rest of the batch is left out.
func (s *State) ApplyBatch(b provider.Batch) []Result {
	if b.First > s.next {
		s.SkipTo(b.First)
	}

	results := make([]Result, 0, len(b.Records))

	for _, record := range b.Records {
		r := s.Apply(record)
		results = append(results, r)

		if r.outcome == Restored {
			break
		}
	}

	return results
}

// Apply applies one record.
func (s *State) Apply(r provider.Record) Result {
	result := Result{offset: r.Offset, time: r.Time, before: s.Version()}
	if r.Offset < s.next {
		return s.finish(result, Repeated)
	}

	if r.Offset > s.next {
		s.SkipTo(r.Offset)
	}

	s.next = r.Offset + 1

	record, err := Decode(r.Data)
	if err != nil {
		result.err = err

		return s.finish(result, Undecodable)
	}

	switch record := record.(type) {
	case Published:
		return s.publish(result, record)
	case Fence:
		return s.fence(result, record)
	case Checkpoint:
		return s.checkpoint(result, record)
	default:
		return s.finish(result, Undecodable)
	}
}

// Adopt starts from a checkpoint of a peer.
func (s *State) Adopt(c Checkpoint) Result {
	result := Result{before: s.Version(), id: c.ID}

	switch {
	case c.Version > c.Through || c.Through+1 == 0:
		return s.finish(result, Disagreeing)
	case s.known && c.Through+1 < s.next:
		return s.finish(result, s.compare(c))
	default:
		return s.restore(result, c)
	}
}

// Checkpoint returns what the state knows, unless it has missed records. Its
// bytes are shared and must not be changed.
func (s *State) Checkpoint() (Checkpoint, bool) {
	if !s.known {
		return Checkpoint{}, false
	}

	return Checkpoint{
		Version:  s.current.version,
		Through:  s.next - 1,
		ID:       s.current.id,
		Manifest: s.current.source,
		Operator: s.current.operator,
	}, true
}

func (s *State) publish(result Result, p Published) Result {
	result.id = p.ID

	switch {
	case !s.known:
		return s.finish(result, Undecided)
	case p.DerivedFrom != s.Version():
		return s.finish(result, Stale)
	}

	m, err := manifest.Parse(sourceName, p.Manifest)
	if err != nil {
		result.err = err

		return s.finish(result, Invalid)
	}

	s.current = &Snapshot{
		version:  result.offset,
		id:       p.ID,
		operator: p.Operator,
		source:   p.Manifest,
		manifest: m,
	}

	return s.finish(result, Applied)
}

func (s *State) fence(result Result, f Fence) Result {
	result.id = f.ID

	switch {
	case !s.known:
		return s.finish(result, Undecided)
	case f.DerivedFrom != s.Version():
		return s.finish(result, Stale)
	}

	fenced := *s.current
	fenced.version = result.offset
	fenced.id = f.ID
	s.current = &fenced

	return s.finish(result, Fenced)
}

func (s *State) checkpoint(result Result, c Checkpoint) Result {
	result.id = c.ID

	switch {
	case c.Through >= result.offset || c.Version > c.Through:
		return s.finish(result, Disagreeing)
	case s.known:
		return s.finish(result, s.compare(c))
	case c.Through+1 < s.runStart:
		return s.finish(result, Useless)
	default:
		return s.restore(result, c)
	}
}

// compare checks a statement about an offset that the state has passed.
func (s *State) compare(c Checkpoint) Outcome {
	agrees := c.Version <= s.Version()

	switch {
	case c.Version == s.Version():
		agrees = c.ID == s.current.id && bytes.Equal(c.Manifest, s.current.source)
	case c.Through >= s.Version():
		agrees = false
	}

	if agrees {
		return Confirmed
	}

	return Disagreeing
}

// restore starts from a statement about the end of what was seen or later.
func (s *State) restore(result Result, c Checkpoint) Result {
	if c.Version <= s.Version() && s.compare(c) != Confirmed {
		return s.finish(result, Disagreeing)
	}

	// The statement is older than the version that the state has already.
	if c.Version < s.Version() {
		return s.finish(result, Useless)
	}

	restored, err := snapshotOf(c)
	if err != nil {
		result.err = err

		return s.finish(result, Invalid)
	}

	if c.Version > s.Version() {
		s.current = restored
	}

	s.next = c.Through + 1
	s.runStart = s.next
	s.known = true

	return s.finish(result, Restored)
}

func (s *State) finish(r Result, o Outcome) Result {
	r.outcome = o
	r.version = s.Version()
	r.snapshot = s.current

	return r
}

func snapshotOf(c Checkpoint) (*Snapshot, error) {
	snapshot := &Snapshot{version: c.Version, id: c.ID, operator: c.Operator, source: c.Manifest}
	if len(c.Manifest) == 0 {
		return snapshot, nil
	}

	m, err := manifest.Parse(sourceName, c.Manifest)
	if err != nil {
		return nil, err
	}

	snapshot.manifest = m

	return snapshot, nil
}
