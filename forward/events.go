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
	// eventBuffer is the size in bytes of the read buffer: several events of a model engine
	// fit into it.
	eventBuffer = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// eventReader splits a stream of server-sent events into single events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
}

var idField = []byte("id:")

// next returns the bytes of the next complete event, including its blank line, and its
// id. The bytes are valid until the next call. It returns io.EOF if the stream ends between
// events; any other error wraps upstream.ErrGarbled.
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

// readError returns the error of next for an error of the reader.
func (e *eventReader) readError(err error) error {
	if errors.Is(err, io.EOF) {
		if len(bytes.TrimSpace(e.event)) == 0 {
			return io.EOF
		}

		// errors.Is also matches the cause of an error: with io.EOF as the cause the
		// stream would count as complete.
		err = io.ErrUnexpectedEOF
	}

	return merry.Prepend(upstream.ErrGarbled, "stream ends within an event", merry.WithCause(err))
}
