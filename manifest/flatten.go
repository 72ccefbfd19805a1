package manifest

import (
	"fmt"
	"reflect"
	"strings"

	"monsoonlever/document"
)

// field is one value of a manifest with its path. An element of a list is a
// field without a value, before the fields of its own.
type field struct {
	path  string
	value string
}

// fieldList holds all fields of a manifest in the order of the format.
type fieldList struct {
	list   []field
	byPath map[string]string
}

func fieldsOf(m *Manifest) *fieldList {
	l := &fieldList{byPath: map[string]string{}}
	if m != nil {
		l.flatten("", reflect.ValueOf(m.wire).Elem())
	}

	return l
}

func (l *fieldList) flatten(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			l.flatten(document.Child(path, v.Type().Field(i).Tag.Get("json")), v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			l.flattenItem(path, v.Index(i))
		}
	case reflect.Pointer:
		if !v.IsNil() {
			l.flatten(path, v.Elem())
		}
	default:
		l.add(path, fmt.Sprint(v.Interface()))
	}
}

// flattenItem names an element by its first field, which is its name, or by its
// value where it is plain: its index changes when another is put before it.
func (l *fieldList) flattenItem(path string, v reflect.Value) {
	if v.Kind() != reflect.Struct {
		value := fmt.Sprint(v.Interface())
		l.add(path+"["+value+"]", "")

		return
	}

	item := path + "[" + fmt.Sprint(v.Field(0).Interface()) + "]"
	l.add(item, "")
	l.flatten(item, v)
}

func (l *fieldList) add(path, value string) {
	path = strings.TrimPrefix(path, ".")
	l.list = append(l.list, field{path: path, value: value})
	l.byPath[path] = value
}
