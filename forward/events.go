package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"monsoonlever/buffer"
	"monsoonlever/upstream"
)

const (
	// eventBuffer is the size in bytes of the read buffer: several events of a model engine
	// fit into it.
	eventBuffer = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// eventGrowth is the memory that an event takes at most while it grows, as a multiple of its
	// length: the old and the new array.
	eventGrowth = 3
)

// eventReader splits a stream of server-sent events into single events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	// memory holds event.
	memory *buffer.Reservation
}

var idField = []byte("id:")

// next returns the bytes of the next complete event, including its blank line, and its
// id. The bytes are valid until the next call. It returns io.EOF if the stream ends between
// events; any other error wraps upstream.ErrGarbled.
func (e *eventReader) next() ([]byte, string, error) {
	e.event = e.event[:0]
	id, lineStart := "", 0

	for {
		line, err := e.reader.ReadSlice('\n')
		if err := e.append(line); err != nil {
			return nil, "", merry.Prepend(upstream.ErrGarbled, "read event", merry.WithCause(err))
		}

		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}

		if err != nil {
			return nil, "", e.readError(err)
		}

		// A long line comes in parts, of which the last may hold nothing but its line feed.
		text := bytes.TrimRight(e.event[lineStart:], "\r\n")
		lineStart = len(e.event)

		if len(text) == 0 && len(bytes.TrimRight(e.event, "\r\n")) > 0 {
			return e.event, id, nil
		}

		if value, ok := bytes.CutPrefix(text, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// append adds a line, or a part of one, to the event.
func (e *eventReader) append(line []byte) error {
	length := len(e.event) + len(line)
	if length > maxEventBytes {
		return merry.Prependf(buffer.ErrTooLong, "over %d bytes", maxEventBytes)
	}

	if length > cap(e.event) {
		if err := e.memory.Resize(eventGrowth * int64(length)); err != nil {
			return err
		}
	}

	e.event = append(e.event, line...)

	return nil
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
