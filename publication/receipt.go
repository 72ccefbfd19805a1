package publication

import "monsoonlever/platform"

// Receipt says that a publication took effect on the log.
type Receipt struct {
	id      ID
	version platform.Offset
}

// ID returns the id of the publication.
func (r Receipt) ID() ID { return r.id }

// Version returns the version that it made.
func (r Receipt) Version() platform.Offset { return r.version }
