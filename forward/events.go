package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"monsoonlever/upstream"
)

const (
	// eventBuffer holds several events as engines send them.
	eventBuffer = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// eventReader cuts a stream of server-sent events into whole ones.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
}

var idField = []byte("id:")

// next returns the bytes of the next whole event, its blank line included, and
// its id. The bytes are valid until the next call. It returns io.EOF only between
// events.
func (e *eventReader) next() ([]byte, string, error) {
	e.event = e.event[:0]
	id := ""

	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)

		if len(e.event) > maxEventBytes {
			return nil, "", merry.Prepend(upstream.ErrGarbled, "event is too long")
		}

		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}

		if err != nil {
			return nil, "", e.readError(err)
		}

		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(bytes.TrimRight(e.event, "\r\n")) > 0 {
			return e.event, id, nil
		}

		if value, ok := bytes.CutPrefix(text, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

func (e *eventReader) readError(err error) error {
	if errors.Is(err, io.EOF) {
		if len(bytes.TrimSpace(e.event)) == 0 {
			return io.EOF
		}

		// The cause of an error counts as what it is: io.EOF would say that the stream
		// is whole.
		err = io.ErrUnexpectedEOF
	}

	return merry.Prepend(upstream.ErrGarbled, "stream ends within an event", merry.WithCause(err))
}
