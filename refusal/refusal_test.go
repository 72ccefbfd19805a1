package refusal

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

func TestEveryCodeHasStatusAndRunState(t *testing.T) {
	for _, code := range Codes() {
		if got := code.Status(); got < 400 || got > 599 {
			t.Errorf("%s: got status %d, want an error status", code, got)
		}

		switch code.Run() {
		case NotRun, NotStarted, Unknown, Ran:
		default:
			t.Errorf("%s: got run state %q, want one of the four", code, code.Run())
		}
	}
}

func TestWriteSetsRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	New(Overloaded, "queue is full").WithRun(NotStarted).WithRetryAfter(1200 * time.Millisecond).Write(w)

	if got, want := w.Code, 503; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}

	if got, want := w.Header().Get("Retry-After"), "2"; got != want {
		t.Errorf("Retry-After: got %q, want %q", got, want)
	}

	var got Body
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatalf("body: %v", err)
	}

	want := Body{Error: Detail{
		Code: Overloaded, Type: "refusal", Message: "queue is full", Run: NotStarted, RetryAfterSeconds: 2,
	}}
	if got != want {
		t.Errorf("body: got %+v, want %+v", got, want)
	}
}

func TestErrorsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}

	for _, code := range Codes() {
		want := fmt.Sprintf("| `%s` | %d | `%s` |", code, code.Status(), code.Run())
		if !strings.Contains(string(page), want) {
			t.Errorf("docs/errors.md: got no row %q, want one", want)
		}
	}
}
