// Package document decodes JSON with comments into structs and says where each
// value stood.
//
// Decoding is strict: an unknown or repeated field, a value of the wrong type, a
// number out of range and a duration that does not parse are findings. It does
// not stop at the first one. Durations are strings such as "250ms". A field
// that is left out keeps the value that the struct had before.
//
// # Usage
//
//	var l finding.List
//	var s Settings
//	d := document.Decode("settings.jsonc", data, &s, &l)
//	if s.Listen == "" {
//		d.Report(&l, "listen", "is missing")
//	}
//	return s, l.Err()
package document

import (
	"sort"
	"strings"

	"monsoonlever/finding"
)

// Document is a decoded file that knows the line of each of its fields.
type Document struct {
	file        string
	lineStarts  []int
	fieldLines  map[string]int
	undecodable map[string]bool
}

// File returns the name under which the document reports findings.
func (d *Document) File() string {
	return d.file
}

// Line returns the line of a field, or that of its nearest ancestor that is
// written in the document. It is 0 where there is none.
func (d *Document) Line(field string) int {
	for {
		if line, ok := d.fieldLines[field]; ok {
			return line
		}

		if field == "" {
			return 0
		}

		field = parent(field)
	}
}

// Report adds a finding about a field with its file and line. It adds none to a
// field that could not be decoded: its value was never seen.
func (d *Document) Report(l *finding.List, field, message string, args ...any) {
	if d.undecodable[field] {
		return
	}

	l.Add(d.file, d.Line(field), field, message, args...)
}

// Has tells whether the document writes the field.
func (d *Document) Has(field string) bool {
	_, ok := d.fieldLines[field]

	return ok
}

func newDocument(file string, data []byte) *Document {
	starts := []int{0}

	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}

	return &Document{file: file, lineStarts: starts, fieldLines: map[string]int{}, undecodable: map[string]bool{}}
}

// lineAt returns the line of a byte offset, counted from 1.
func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.lineStarts, offset+1)
}

// parent returns the path without its last field or index.
func parent(field string) string {
	i := strings.LastIndexAny(field, ".[")
	if i < 0 {
		return ""
	}

	return field[:i]
}
