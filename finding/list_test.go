package finding

import (
	"errors"
	"testing"
)

func TestListReportsFindingsWithLocation(t *testing.T) {
	var l List
	if err := l.Err(); err != nil {
		t.Fatalf("empty list: got %v, want nil", err)
	}

	l.Add("a.jsonc", 3, "listen.address", "must be %s", "host:port")
	l.Add("a.jsonc", 0, "", "is empty")

	err := l.Err()

	want := "a.jsonc:3: listen.address: must be host:port\na.jsonc: is empty"
	if got := err.Error(); got != want {
		t.Errorf("error text: got %q, want %q", got, want)
	}

	var list *Error
	if !errors.As(err, &list) {
		t.Fatalf("error type: got %T, want *Error", err)
	}

	if got, want := len(list.Items()), 2; got != want {
		t.Errorf("items: got %d, want %d", got, want)
	}
}
