// Package document decodes JSON with comments into structs and records the line
// of each field.
//
// Decoding is strict: an unknown or repeated field, a value of the wrong type, a
// number out of range and a duration that does not parse are findings. Decoding
// continues after a finding, so that one run reports all of them. Durations are
// strings such as "250ms". A field that the document omits keeps its previous
// value in the struct, so defaults can be set before decoding.
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

// Document holds the file name of a decoded document and the line of each field.
type Document struct {
	file        string
	lineStarts  []int
	fieldLines  map[string]int
	undecodable map[string]bool
}

// File returns the file name that findings of the document carry.
func (d *Document) File() string {
	return d.file
}

// Line returns the line of the field with the given path, counted from 1. If the
// document omits the field, it returns the line of the nearest ancestor that is
// present, or 0 if nothing was decoded.
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

// Report adds a finding about a field to l, with the document's file name and the
// field's line. It adds nothing for a field whose value could not be decoded:
// that field already has a finding, and the struct does not hold its value.
func (d *Document) Report(l *finding.List, field, message string, args ...any) {
	if d.undecodable[field] {
		return
	}

	l.Add(d.file, d.Line(field), field, message, args...)
}

// Has reports whether the field with the given path is present in the document.
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

// lineAt returns the line that contains a byte offset, counted from 1.
func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.lineStarts, offset+1)
}

// parent returns a field's path without its last name or index.
func parent(field string) string {
	i := strings.LastIndexAny(field, ".[")
	if i < 0 {
		return ""
	}

	return field[:i]
}
