package standin

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
)

// crossedAttempt is the attempt whose events CrossTokens mixes in.
const crossedAttempt backend.AttemptID = "crossed"

// eventWriter writes the events of one attempt, with the fault of its stream.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	attempt backend.AttemptID
	fault   streamFault
	sent    int
}

func newEventWriter(w http.ResponseWriter, id backend.AttemptID, fault streamFault) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), attempt: id, fault: fault}
}

// begin sends the header, so that the caller knows that the attempt has started.
func (o *eventWriter) begin() error {
	o.w.Header().Set("Content-Type", backend.EventStreamType)
	o.w.WriteHeader(http.StatusOK)

	return o.flush()
}

func (o *eventWriter) token(offset int, token string) error {
	if err := o.cut(); err != nil {
		return err
	}

	o.sent++

	event := backend.TokenEvent{Attempt: o.attempt, Offset: offset, Token: token}
	if o.fault.kind == CrossTokens {
		crossed := event
		crossed.Attempt = crossedAttempt

		if err := o.write(crossed); err != nil {
			return err
		}
	}

	return o.write(event)
}

func (o *eventWriter) finish(offset int, finish string, usage backend.Usage) error {
	if err := o.cut(); err != nil {
		return err
	}

	return o.write(backend.TokenEvent{Attempt: o.attempt, Offset: offset, Finish: finish, Usage: &usage})
}

// cut ends the stream where its fault says so.
func (o *eventWriter) cut() error {
	if o.sent < o.fault.after {
		return nil
	}

	switch o.fault.kind { //nolint:exhaustive // the rest ends no stream
	case KillStream, TruncateStream:
		return merry.Wrap(errStreamCut)
	case GarbleStream:
		if _, err := o.w.Write([]byte("data: {\"attempt\":\n\n")); err != nil {
			return merry.Prepend(err, "write event")
		}

		if err := o.flush(); err != nil {
			return err
		}

		return merry.Wrap(errStreamCut)
	default:
		return nil
	}
}

func (o *eventWriter) write(event backend.TokenEvent) error {
	body, err := json.Marshal(event)
	if err != nil {
		return merry.Prepend(err, "encode event")
	}

	line := make([]byte, 0, len(body)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, body...)
	line = append(line, "\n\n"...)

	if o.fault.kind == RepeatTokens {
		line = append(line, line...)
	}

	if _, err := o.w.Write(line); err != nil {
		return merry.Prepend(err, "write event")
	}

	return o.flush()
}

func (o *eventWriter) flush() error {
	if err := o.control.Flush(); err != nil {
		return merry.Prepend(err, "flush events")
	}

	return nil
}
