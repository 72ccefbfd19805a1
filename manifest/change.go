package manifest

import "fmt"

// ChangeKind tells what happened to a field from one manifest to another.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests. The path names an element of
// a list by its name: services[payrun-api].calls[submit-bank-file].deadline.
type Change struct {
	kind   ChangeKind
	field  string
	before string
	after  string
}

// Kind tells whether the field was added, removed or changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Field returns the path of the field.
func (c Change) Field() string { return c.field }

// Before returns the old value, empty for a whole element.
func (c Change) Before() string { return c.before }

// After returns the new value, empty for a whole element.
func (c Change) After() string { return c.after }

// String returns the change on one line.
func (c Change) String() string {
	switch c.kind {
	case Added:
		return valued(c.field+": added", c.after)
	case Removed:
		return valued(c.field+": removed", c.before)
	default:
		return fmt.Sprintf("%s: %s -> %s", c.field, c.before, c.after)
	}
}

func valued(text, value string) string {
	if value == "" {
		return text
	}

	return text + " " + value
}
