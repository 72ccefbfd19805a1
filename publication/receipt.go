package publication

import "monsoonlever/provider"

// Receipt says that a publication took effect on the log.
type Receipt struct {
	id      ID
	version provider.Offset
}

// ID returns the id of the publication.
func (r Receipt) ID() ID { return r.id }

// Version returns the version that it made.
func (r Receipt) Version() provider.Offset { return r.version }
