package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	streamBufferBytes = 4 << 10
	maxEventBytes     = 64 << 10
)

var eventDataField = []byte("data:")

// ErrMalformedEvent means that a stream contained an invalid event.
var ErrMalformedEvent = errors.New("malformed event in the stream")

// eventStream reads server-sent events. Next is not safe for concurrent use. Close may be
// called from another goroutine.
type eventStream struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	decoder  eventDecoder
	longLine []byte
	err      error
}

func newEventStream(body io.ReadCloser, attempt AttemptID) *eventStream {
	return &eventStream{
		body:    body,
		reader:  bufio.NewReaderSize(body, streamBufferBytes),
		decoder: eventDecoder{attempt: attempt},
	}
}

// Next returns the next event. After an error, every call returns the same error.
func (s *eventStream) Next() (TokenEvent, error) {
	if s.err != nil {
		return TokenEvent{}, s.err
	}

	event, err := s.next()
	if err != nil {
		s.err = err

		return TokenEvent{}, err
	}

	if event.Finish != "" {
		s.err = io.EOF
	}

	return event, nil
}

func (s *eventStream) next() (TokenEvent, error) {
	for {
		line, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return TokenEvent{}, io.ErrUnexpectedEOF
		}

		if err != nil {
			return TokenEvent{}, err
		}

		if data, ok := bytes.CutPrefix(line, eventDataField); ok {
			return s.decoder.decode(bytes.TrimSpace(data))
		}
	}
}

// readLine returns the next line, which is valid until the next call.
func (s *eventStream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}

	s.longLine = s.longLine[:0]

	for errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine, line...)
		if len(s.longLine) > maxEventBytes {
			return nil, merry.Prepend(ErrMalformedEvent, "line is too long")
		}

		line, err = s.reader.ReadSlice('\n')
	}

	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}

	if err != nil {
		return nil, merry.Prepend(err, "read event stream")
	}

	s.longLine = append(s.longLine, line...)

	return s.longLine, nil
}

// Close closes the stream and thereby the connection to the engine.
func (s *eventStream) Close() error {
	if err := s.body.Close(); err != nil {
		return merry.Prepend(err, "close event stream")
	}

	return nil
}
