// Package finding collects what is wrong with a file and reports it all at once.
//
// A check does not stop at the first fault. It adds a Finding with its place
// to a List and goes on; the caller turns the List into one error at the end.
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

// Finding is one fault with its place.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the finding as file:line: field: message.
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
