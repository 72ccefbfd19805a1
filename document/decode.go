package document

import (
	"reflect"

	"github.com/tailscale/hujson"

	"monsoonlever/finding"
)

const (
	// MaxBytes is the size beyond which a document is not read.
	MaxBytes = 4 << 20
	// MaxDepth is the nesting beyond which a document is not read.
	MaxDepth = 32
)

// Decode reads data into out and adds what is wrong with it to l. Fields without
// a fault are set even where others have one.
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
