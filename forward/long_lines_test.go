package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"monsoonlever/buffer"
)

// Guards against events of two runs that are joined: a line whose length is a multiple of the read
// buffer left its line feed alone, which was taken for the blank line that ends an event.
func TestLongLinesEndNoEvent(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		for _, parts := range []int{1, 2, 3} {
			for length := parts*eventBuffer - 3; length <= parts*eventBuffer+3; length++ {
				t.Run(fmt.Sprintf("%q after %d bytes", lineEnd, length), func(t *testing.T) {
					line := "data: " + strings.Repeat("x", length-len("data: "))
					event := func(id int) string {
						return fmt.Sprint("id: ", id, lineEnd, line, lineEnd, line, lineEnd, lineEnd)
					}

					e := &eventReader{
						reader: bufio.NewReaderSize(strings.NewReader(event(1)+event(2)), eventBuffer), memory: (*buffer.Budget)(nil).Reserve(),
					}

					for id := 1; id <= 2; id++ {
						got, gotID, err := e.next()
						if err != nil || string(got) != event(id) || gotID != fmt.Sprint(id) {
							t.Fatalf("event %d: got %d bytes, ID %q and %v, want %d bytes", id, len(got), gotID, err, len(event(id)))
						}
					}

					if _, _, err := e.next(); !errors.Is(err, io.EOF) {
						t.Errorf("end of the stream: got %v, want %v", err, io.EOF)
					}
				})
			}
		}
	}
}

// Guards against text of a model that is taken for the ID of its event, where a part of a long line
// begins with it.
func TestPartOfLongLineIsNoID(t *testing.T) {
	line := "data: " + strings.Repeat("x", eventBuffer-len("data: ")) + "id: 7"
	e := &eventReader{
		reader: bufio.NewReaderSize(strings.NewReader("id: 1\n"+line+"\n\n"), eventBuffer), memory: (*buffer.Budget)(nil).Reserve(),
	}

	if _, got, err := e.next(); err != nil || got != "1" {
		t.Errorf("ID: got %q and %v, want %q", got, err, "1")
	}
}
