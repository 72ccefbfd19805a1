package document

import (
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"monsoonlever/finding"
)

var durationType = reflect.TypeFor[time.Duration]()

// walker decodes a parsed document into Go values by reflection.
type walker struct {
	document *Document
	findings *finding.List
}

func (w *walker) decode(path string, v hujson.Value, out reflect.Value) {
	w.document.fieldLines[path] = w.document.lineAt(v.StartOffset)

	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		w.decode(path, v, out.Elem())

		return
	}

	switch value := v.Value.(type) {
	case *hujson.Object:
		w.object(path, value, out)
	case *hujson.Array:
		w.array(path, value, out)
	case hujson.Literal:
		w.literal(path, value, out)
	}
}

func (w *walker) object(path string, o *hujson.Object, out reflect.Value) {
	if out.Kind() != reflect.Struct {
		w.report(path, "must be %s, not an object", expected(out.Type()))

		return
	}

	fields := fieldIndexes(out.Type())
	seen := map[string]bool{}

	for _, m := range o.Members {
		name := memberName(m)
		child := Child(path, name)
		line := w.document.lineAt(m.Name.StartOffset)

		index, known := fields[name]

		switch {
		case seen[name]:
			w.findings.Add(w.document.file, line, child, "is written twice")
		case !known:
			w.findings.Add(w.document.file, line, child, "is unknown")
		default:
			w.decode(child, m.Value, out.Field(index))
		}

		seen[name] = true
	}
}

func (w *walker) array(path string, a *hujson.Array, out reflect.Value) {
	if out.Kind() != reflect.Slice {
		w.report(path, "must be %s, not an array", expected(out.Type()))

		return
	}

	items := reflect.MakeSlice(out.Type(), len(a.Elements), len(a.Elements))
	for i, element := range a.Elements {
		w.decode(Item(path, i), element, items.Index(i))
	}

	out.Set(items)
}

// report adds a finding about a value that could not be decoded and suppresses
// later findings about the same field.
func (w *walker) report(path, message string, args ...any) {
	w.document.Report(w.findings, path, message, args...)
	w.document.undecodable[path] = true
}

func memberName(m hujson.ObjectMember) string {
	name, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}

	return name.String()
}

// fieldIndexes maps the JSON names of a struct's exported fields to their indexes.
// Fields without a JSON name are omitted.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}

	for i := range t.NumField() {
		f := t.Field(i)

		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && name != "" && name != "-" {
			fields[name] = i
		}
	}

	return fields
}
