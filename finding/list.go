package finding

import (
	"fmt"
	"strings"
)

// List holds findings in the order they were made. The zero value is empty and
// ready for use.
type List struct {
	items []Finding
}

// Add appends a finding. The message may use fmt verbs.
func (l *List) Add(file string, line int, field, message string, args ...any) {
	l.items = append(l.items, Finding{
		File:    file,
		Line:    line,
		Field:   field,
		Message: fmt.Sprintf(message, args...),
	})
}

// Items returns a copy of the findings.
func (l *List) Items() []Finding {
	return append([]Finding(nil), l.items...)
}

// Err returns nil for an empty list and an *Error with every finding otherwise.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}

	return &Error{items: l.Items()}
}

// Error is a non-empty list of findings as an error.
type Error struct {
	items []Finding
}

// Items returns a copy of the findings behind the error.
func (e *Error) Items() []Finding {
	return append([]Finding(nil), e.items...)
}

// Error returns one finding a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.items))
	for _, f := range e.items {
		lines = append(lines, f.String())
	}

	return strings.Join(lines, "\n")
}
