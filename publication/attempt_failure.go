package publication

import (
	"bytes"

	"github.com/ansel1/merry/v2"

	"monsoonlever/manifest"
)

// interrupted returns what is known of an attempt that did not end.
func (a *attempt) interrupted(cause error) error {
	if a.sent {
		return &Unresolved{id: a.target, base: a.base, cause: cause}
	}

	return merry.Prependf(ErrNotPublished, "before it was appended: %v", cause)
}

// unchanged tells whether the manifest in force is still that of base.
func (a *attempt) unchanged() bool {
	return a.baseSnapshot != nil && bytes.Equal(a.baseSnapshot.source, a.reader.state.Snapshot().source)
}

// failure returns the error of an attempt that did not take effect. The proposed
// manifest may be nil.
func (a *attempt) failure(proposed *manifest.Manifest) error {
	switch a.verdict {
	case verdictRefused:
		return merry.Prependf(ErrNotPublished, "%v", a.refusal)
	case verdictVersionUnknown:
		return merry.Wrap(ErrVersionUnknown)
	case verdictMissed:
		return &Unresolved{id: a.target, base: a.base, gone: true}
	default:
		return a.conflict(proposed)
	}
}

// conflict tells an operator what is in force instead.
func (a *attempt) conflict(proposed *manifest.Manifest) *Conflict {
	winner := a.reader.state.Snapshot()
	c := &Conflict{id: a.target, base: a.base, version: winner.version, operator: winner.operator}

	if a.baseSnapshot != nil {
		c.since = manifest.Diff(a.baseSnapshot.manifest, winner.manifest)
		c.sinceOK = true
	}

	if proposed != nil {
		c.yours = manifest.Diff(winner.manifest, proposed)
	}

	return c
}
