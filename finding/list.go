package finding

import (
	"fmt"
	"strings"
)

// List holds findings in the order in which they were added. The zero value is an empty list.
type List struct {
	items []Finding
}

// Add appends a finding. The message is a format string for args.
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

// Items returns a copy of the findings.
func (e *Error) Items() []Finding {
	return append([]Finding(nil), e.items...)
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.items))
	for _, f := range e.items {
		lines = append(lines, f.String())
	}

	return strings.Join(lines, "\n")
}
