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

// streamProgress is the progress of the stream of one request, over all its servers.
type streamProgress struct {
	// begun is set once the header was written to the caller.
	begun bool
	// lastEventID is the id of the last event that was accepted.
	lastEventID string
	// events counts the accepted events.
	events int
}

// maxLoggedID bounds the characters of an event's id in an error. Valid ids are numbers.
const maxLoggedID = 40

// ErrOutOfOrder means that an event is missing or repeated, or that its id is not a number.
var ErrOutOfOrder = merry.Sentinel("event is out of order")

// accept records an event by its id. The error wraps ErrOutOfOrder if the event does not
// follow the last one.
func (r *streamProgress) accept(id string) error {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return merry.Prependf(ErrOutOfOrder, "id %.*q", maxLoggedID, id)
	}

	if r.lastEventID != "" {
		last, err := strconv.ParseUint(r.lastEventID, 10, 64)
		if err != nil || number != last+1 {
			return merry.Prependf(ErrOutOfOrder, "id %.*q after %q", maxLoggedID, id, r.lastEventID)
		}
	}

	r.lastEventID = id
	r.events++

	return nil
}

// relayStream writes complete events to the sink as they are received.
func (f *Forwarder) relayStream(
	ctx context.Context, j *job, assignment *scheduling.Assignment, response *upstream.Response, sink Sink,
) error {
	events := &eventReader{reader: bufio.NewReaderSize(response, eventBuffer), memory: f.Buffers.Reserve()}
	defer events.memory.Release()

	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := f.checkEnd(ctx, assignment, response); err != nil {
				return err
			}

			return f.endStream(j, response, sink)
		}

		if err != nil {
			return err
		}

		now := f.Clock.Now()
		assignment.Heard(now)

		if !assignment.AnswerBegun() {
			f.recordPartsBegun(j)
		}

		assignment.EventReceived(now)
		j.trial.recordEvent(now)

		if err := j.stream.accept(id); err != nil {
			return err
		}

		f.recordOrigin(j, assignment.Version(), sink)

		if err := f.writeEvent(j, response, sink, event); err != nil {
			return err
		}

		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// writeEvent writes one event, preceded by the response header if it is the first event of
// the request.
func (f *Forwarder) writeEvent(j *job, response *upstream.Response, sink Sink, event []byte) error {
	if !j.stream.begun {
		if err := sink.BeginStream(response.Status(), response.Header()); err != nil {
			return merry.Prepend(errCallerWrite, "write header", merry.WithCause(err))
		}

		j.stream.begun = true
	}

	if err := sink.WriteEvent(event); err != nil {
		return merry.Prepend(errCallerWrite, "write event", merry.WithCause(err))
	}

	return nil
}

// endStream completes a stream whose response has ended.
func (f *Forwarder) endStream(j *job, response *upstream.Response, sink Sink) error {
	if j.stream.begun {
		return nil
	}

	// A stream may be empty: the caller may have resumed it after its last event.
	if err := sink.BeginStream(response.Status(), response.Header()); err != nil {
		return merry.Prepend(errCallerWrite, "write header", merry.WithCause(err))
	}

	j.stream.begun = true

	return nil
}
