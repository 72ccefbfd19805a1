package document

import (
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

const (
	kindString = '"'
	kindNumber = '0'
	kindTrue   = 't'
	kindFalse  = 'f'
)

func (w *walker) literal(path string, lit hujson.Literal, out reflect.Value) {
	if out.Type() == durationType {
		w.duration(path, lit, out)

		return
	}

	switch out.Kind() {
	case reflect.String:
		w.text(path, lit, out)
	case reflect.Bool:
		w.boolean(path, lit, out)
	case reflect.Int, reflect.Int64, reflect.Int32:
		w.integer(path, lit, out)
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		w.unsigned(path, lit, out)
	case reflect.Float64:
		w.float(path, lit, out)
	default:
		w.mismatch(path, lit, out)
	}
}

func (w *walker) duration(path string, lit hujson.Literal, out reflect.Value) {
	if lit.Kind() != kindString {
		w.mismatch(path, lit, out)

		return
	}

	d, err := time.ParseDuration(lit.String())
	if err != nil {
		w.report(path, "must be a duration such as \"250ms\", not %s", string(lit))

		return
	}

	out.SetInt(int64(d))
}

func (w *walker) text(path string, lit hujson.Literal, out reflect.Value) {
	if lit.Kind() != kindString {
		w.mismatch(path, lit, out)

		return
	}

	out.SetString(lit.String())
}

func (w *walker) boolean(path string, lit hujson.Literal, out reflect.Value) {
	if lit.Kind() != kindTrue && lit.Kind() != kindFalse {
		w.mismatch(path, lit, out)

		return
	}

	out.SetBool(lit.Bool())
}

func (w *walker) integer(path string, lit hujson.Literal, out reflect.Value) {
	n, err := strconv.ParseInt(string(lit), 10, 64)
	if lit.Kind() != kindNumber || err != nil || out.OverflowInt(n) {
		w.mismatch(path, lit, out)

		return
	}

	out.SetInt(n)
}

func (w *walker) unsigned(path string, lit hujson.Literal, out reflect.Value) {
	n, err := strconv.ParseUint(string(lit), 10, 64)
	if lit.Kind() != kindNumber || err != nil || out.OverflowUint(n) {
		w.mismatch(path, lit, out)

		return
	}

	out.SetUint(n)
}

func (w *walker) float(path string, lit hujson.Literal, out reflect.Value) {
	n, err := strconv.ParseFloat(string(lit), 64)
	if lit.Kind() != kindNumber || err != nil {
		w.mismatch(path, lit, out)

		return
	}

	out.SetFloat(n)
}

func (w *walker) mismatch(path string, lit hujson.Literal, out reflect.Value) {
	w.report(path, "must be %s, not %s", expected(out.Type()), string(lit))
}

// expected describes the JSON value that t requires, for use in a finding.
func expected(t reflect.Type) string {
	if t == durationType {
		return `a duration such as "250ms"`
	}

	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
