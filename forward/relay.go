package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"

	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// streamProgress is how far the stream of one request has come, over all its servers.
type streamProgress struct {
	// begun is set once the caller has the header.
	begun bool
	// lastEventID is the id of the newest event that the caller has.
	lastEventID string
	events      int
}

// ErrOutOfOrder means that an event is missing, repeated or has no usable id.
var ErrOutOfOrder = merry.Sentinel("event is out of order")

// accept takes an event with an id in, if it is the next one.
func (r *streamProgress) accept(id string) error {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return merry.Prependf(ErrOutOfOrder, "id %q", id)
	}

	if r.lastEventID != "" {
		last, err := strconv.ParseUint(r.lastEventID, 10, 64)
		if err != nil || number != last+1 {
			return merry.Prependf(ErrOutOfOrder, "id %q after %q", id, r.lastEventID)
		}
	}

	r.lastEventID = id
	r.events++

	return nil
}

// relayStream passes whole events on as they come.
func (f *Forwarder) relayStream(
	ctx context.Context, j *job, assignment *scheduling.Assignment, answer *upstream.Response, sink Sink,
) error {
	events := &eventReader{reader: bufio.NewReaderSize(answer, eventBuffer)}

	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return f.endStream(j, answer, sink)
		}

		if err != nil {
			return err
		}

		now := f.Clock.Now()
		assignment.FirstEventReceived(now)
		j.trial.recordEvent(now)

		if err := j.stream.accept(id); err != nil {
			return err
		}

		if err := f.writeEvent(j, answer, sink, event); err != nil {
			return err
		}

		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// writeEvent writes one event, after the header of the first server's answer.
func (f *Forwarder) writeEvent(j *job, answer *upstream.Response, sink Sink, event []byte) error {
	if !j.stream.begun {
		if err := sink.BeginStream(answer.Status(), answer.Header()); err != nil {
			return merry.Prepend(errCallerWrite, "write header", merry.WithCause(err))
		}

		j.stream.begun = true
	}

	if err := sink.WriteEvent(event); err != nil {
		return merry.Prepend(errCallerWrite, "write event", merry.WithCause(err))
	}

	return nil
}

func (f *Forwarder) endStream(j *job, answer *upstream.Response, sink Sink) error {
	if j.stream.begun {
		return nil
	}

	// A stream may be empty, as one that is resumed after its last event.
	if err := sink.BeginStream(answer.Status(), answer.Header()); err != nil {
		return merry.Prepend(errCallerWrite, "write header", merry.WithCause(err))
	}

	j.stream.begun = true

	return nil
}
