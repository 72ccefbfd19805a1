package publication

import (
	"fmt"

	"monsoonlever/manifest"
	"monsoonlever/provider"
)

// Conflict is the error of a publication that took no effect and never will,
// because another version is in force.
type Conflict struct {
	id       ID
	base     provider.Offset
	version  provider.Offset
	operator string
	since    []manifest.Change
	sinceOK  bool
	yours    []manifest.Change
}

// ID returns the id of the publication.
func (c *Conflict) ID() ID { return c.id }

// Base returns the version that the publication was derived from.
func (c *Conflict) Base() provider.Offset { return c.base }

// Version returns the version in force.
func (c *Conflict) Version() provider.Offset { return c.version }

// Operator returns who published the manifest in force.
func (c *Conflict) Operator() string { return c.operator }

// Since returns what has changed in force since Base, and whether Base is still
// known.
func (c *Conflict) Since() ([]manifest.Change, bool) { return c.since, c.sinceOK }

// Yours returns what the publication would have changed in the manifest in
// force.
func (c *Conflict) Yours() []manifest.Change { return c.yours }

// Error tells which version won.
func (c *Conflict) Error() string {
	return fmt.Sprintf("not published: derived from version %d, but version %d by %q is in force", c.base, c.version, c.operator)
}
