// Package finding collects the errors of a file, so that they are reported together.
//
// A check does not stop at the first error. It adds a Finding with its location to a List and
// continues; the caller turns the List into one error at the end.
//
// # Usage
//
//	var l finding.List
//	l.Add("settings.jsonc", 12, "listen.address", "must be host:port")
//	if err := l.Err(); err != nil {
//		return err
//	}
package finding

import "fmt"

// Finding is an error in a file and its location.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the finding as "file:line: field: message". It leaves out a line of 0 and an
// empty field.
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}

	if f.Field == "" {
		return location + ": " + f.Message
	}

	return location + ": " + f.Field + ": " + f.Message
}
