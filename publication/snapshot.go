package publication

import (
	"bytes"

	"monsoonlever/manifest"
	"monsoonlever/provider"
)

// Snapshot is a manifest with its version. It is immutable.
type Snapshot struct {
	version  provider.Offset
	id       ID
	operator string
	source   []byte
	manifest *manifest.Manifest
}

// Version returns the offset of the record that put the manifest in force.
func (s *Snapshot) Version() provider.Offset { return s.version }

// ID returns the id of that record.
func (s *Snapshot) ID() ID { return s.id }

// Operator returns who published the manifest.
func (s *Snapshot) Operator() string { return s.operator }

// Manifest returns the manifest, nil where none is in force.
func (s *Snapshot) Manifest() *manifest.Manifest { return s.manifest }

// Source returns a copy of the manifest's text.
func (s *Snapshot) Source() []byte { return bytes.Clone(s.source) }
