package document

import (
	"reflect"

	"github.com/tailscale/hujson"

	"monsoonlever/finding"
)

const (
	// MaxBytes is the largest document, in bytes, that Decode parses.
	MaxBytes = 4 << 20
	// MaxDepth is the deepest nesting of objects and arrays that Decode parses.
	MaxDepth = 32
)

// Decode parses data, sets the fields of the struct that out points to and adds
// every error it finds to l. Valid fields are set even if other fields are not.
// Of a document that is too large, too deep or syntactically wrong, Decode sets
// no field. file is the name of the document in findings.
func Decode[T any](file string, data []byte, out *T, l *finding.List) *Document {
	d := newDocument(file, data)

	if len(data) > MaxBytes {
		l.Add(file, 0, "", "is larger than %d bytes", MaxBytes)

		return d
	}

	if offset, deep := tooDeep(data); deep {
		l.Add(file, d.lineAt(offset), "", "is nested deeper than %d levels", MaxDepth)

		return d
	}

	value, err := hujson.Parse(data)
	if err != nil {
		l.Add(file, syntaxLine(err), "", "is not JSON with comments: %v", err)

		return d
	}

	w := &walker{document: d, findings: l}
	w.decode("", value, reflect.ValueOf(out).Elem())

	return d
}
