package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const finishLine = `data: {"attempt":"a","offset":1,"token":"","finish":"stop","usage":{"promptTokens":3}}` + "\n\n"

func readAll(body string) ([]TokenEvent, error) {
	s := newEventStream(io.NopCloser(strings.NewReader(body)), "a")

	var events []TokenEvent

	for {
		event, err := s.Next()
		if err != nil {
			return events, err
		}

		events = append(events, event)
	}
}

func TestEventStreamTermination(t *testing.T) {
	const token = `data: {"attempt":"a","offset":0,"token":"x"}` + "\n\n"

	tests := []struct {
		desc   string
		body   string
		events int
		want   error
	}{
		{desc: "finish", body: token + finishLine, events: 2, want: io.EOF},
		{desc: "token after the finish", body: token + finishLine + token, events: 2, want: io.EOF},
		{desc: "no finish", body: token, events: 1, want: io.ErrUnexpectedEOF},
		{desc: "empty", body: "", want: io.ErrUnexpectedEOF},
		{desc: "truncated within the finish", body: token + finishLine[:40], events: 1, want: io.ErrUnexpectedEOF},
		{desc: "truncated before the newline", body: strings.TrimSpace(finishLine), want: io.ErrUnexpectedEOF},
		{desc: "comments and other fields", body: ": hi\nid: 4\n" + token + finishLine, events: 2, want: io.EOF},
		{desc: "not json", body: token + "data: {\"attempt\":\n\n", events: 1, want: ErrMalformedEvent},
		{desc: "no attempt", body: "data: {\"token\":\"x\"}\n\n", want: ErrMalformedEvent},
		{desc: "negative offset", body: `data: {"attempt":"a","offset":-1}` + "\n", want: ErrMalformedEvent},
		{desc: "endless line", body: "data: " + strings.Repeat("x", 1<<20), want: ErrMalformedEvent},
		{
			desc:   "line longer than the buffer",
			body:   `data: {"attempt":"a","offset":0,"token":"` + strings.Repeat("x", 10_000) + "\"}\n\n" + finishLine,
			events: 2, want: io.EOF,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			events, err := readAll(tt.body)

			if !errors.Is(err, tt.want) {
				t.Errorf("error: got %v, want %v", err, tt.want)
			}

			if len(events) != tt.events {
				t.Errorf("events: got %d, want %d", len(events), tt.events)
			}
		})
	}
}

func TestEventDecoderMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := TokenEvent{
			Attempt: AttemptID(rapid.SampledFrom([]string{"a", "b", `a"`, "aa"}).Draw(t, "attempt")),
			Offset:  rapid.IntRange(0, 1<<40).Draw(t, "offset"),
			Token:   rapid.String().Draw(t, "token"),
		}

		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}

		got, err := eventDecoder{attempt: "a"}.decode(data)
		if err != nil || got != want {
			t.Errorf("event: got %+v, %v, want %+v", got, err, want)
		}
	})
}

func TestEventDecoderAcceptsOnlyValidJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(`{"attempt":"a","offset":12,"token":"xyz"}`)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] = rapid.Byte().Draw(t, "byte")

		var want TokenEvent

		wantErr := json.Unmarshal(data, &want)
		got, err := eventDecoder{attempt: "a"}.decode(data)

		if wantErr != nil && err == nil {
			t.Errorf("%q: got %+v, want an error", data, got)
		}

		if err == nil && got != want {
			t.Errorf("%q: got %+v, want %+v", data, got, want)
		}
	})
}

// endlessTokens is a response body that repeats one event.
type endlessTokens struct {
	line string
	rest string
}

func (e *endlessTokens) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.line
	}

	n := copy(p, e.rest)
	e.rest = e.rest[n:]

	return n, nil
}

func (e *endlessTokens) Close() error { return nil }

func newEndlessStream() *eventStream {
	line := fmt.Sprintf("data: {\"attempt\":%q,\"offset\":12,\"token\":\" token\"}\n\n", "a-1")

	return newEventStream(&endlessTokens{line: line}, "a-1")
}

func TestNextAllocatesOncePerToken(t *testing.T) {
	s := newEndlessStream()

	got := testing.AllocsPerRun(1000, func() {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	})

	if got > 1 {
		t.Errorf("allocations per token: got %v, want at most 1", got)
	}
}

func BenchmarkEventStreamNext(b *testing.B) {
	s := newEndlessStream()

	b.ReportAllocs()

	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
