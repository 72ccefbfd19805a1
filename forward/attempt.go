package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"monsoonlever/backend"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// Errors of attempts.
var (
	errUnsignedResponse = merry.Sentinel("answer is not signed by a backend server")
	errServerFailed     = merry.Sentinel("backend server failed the request")
	errCallerWrite      = merry.Sentinel("answer could not be written to the caller")
)

// bufferedResponse is an answer that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server and relays what comes.
func (f *Forwarder) attempt(ctx context.Context, j *job, sink Sink) error {
	began := f.Clock.Now()
	assignment, err := f.Scheduler.Place(ctx, f.Clock, j.schedulingRequest())
	j.queued += f.Clock.Now().Sub(began)

	if err != nil {
		return err
	}

	j.excluded = append(j.excluded, assignment.ID())

	if !assignment.Start(f.Clock.Now()) {
		return merry.Wrap(backend.ErrNotSent, merry.WithCause(errServerBlocked))
	}

	server := upstream.Server{ID: assignment.ID(), Address: assignment.Address()}
	j.startTrial(assignment)

	answer, err := f.Pool.Send(ctx, server, j.upstreamRequest(assignment))
	if err != nil {
		f.endAttempt(ctx, j, assignment, err)
		f.recordLoss(ctx, j, assignment, false, err)

		return j.recordSendFailure(server, err)
	}
	defer answer.Close()

	j.sent++
	j.sentTo = append(j.sentTo, string(server.ID))
	err = f.relayResponse(ctx, j, assignment, answer, sink)
	f.endAttempt(ctx, j, assignment, err)
	f.recordLoss(ctx, j, assignment, true, err)

	return err
}

// endAttempt tells the scheduler, and whoever tries a new version, how an attempt ended.
func (f *Forwarder) endAttempt(ctx context.Context, j *job, a *scheduling.Assignment, err error) {
	now, result := f.Clock.Now(), resultOf(ctx, err)
	a.End(now, result)
	j.trial.end(now, result, err)
}

func (j *job) recordSendFailure(server upstream.Server, err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return err
	}

	j.sent++
	j.sentTo = append(j.sentTo, string(server.ID))
	j.mayHaveRun = true

	if !j.route.Generative {
		// A plain service begins at once. An engine begins with the first token, and
		// says so with the header of its answer, which has not come.
		j.countUsage()
	}

	return err
}

// countUsage counts the request as begun for the account's usage, once.
func (j *job) countUsage() {
	if !j.usageCounted && j.account != nil {
		j.usageCounted = true
		j.forwarder.Usage.RequestStarted(j.account.Name)
	}
}

func resultOf(ctx context.Context, err error) scheduling.Result {
	switch {
	case err == nil:
		return scheduling.Served
	case errors.Is(err, backend.ErrRefused):
		return scheduling.Rejected
	case errors.Is(err, errCallerWrite), errors.Is(err, errRevoked), errors.Is(err, errQuarantined),
		errors.Is(err, errServerBlocked), errors.Is(err, scheduling.ErrNoServer):
		return scheduling.Cancelled
	case errors.Is(err, unix.ECONNREFUSED):
		return scheduling.Terminated
	case errors.Is(err, backend.ErrNotSent) && ctx.Err() == nil:
		return scheduling.Unreachable
	case ctx.Err() != nil:
		return scheduling.Cancelled
	default:
		return scheduling.Failed
	}
}

// relayResponse reads an answer whose header has come.
func (f *Forwarder) relayResponse(
	ctx context.Context, j *job, assignment *scheduling.Assignment, answer *upstream.Response, sink Sink,
) error {
	reading := f.Protocol.Inspect(answer.Status(), answer.Header())

	if reading.Load != nil {
		f.Scheduler.RecordLoad(f.Clock.Now(), assignment.ID(), *reading.Load)
	}

	if reading.Limit != nil {
		assignment.AnnouncedLimit(f.Clock.Now(), *reading.Limit)
	}

	if reading.Leaving {
		assignment.AnnouncedLeaving()
	}

	if reading.Backoff > 0 {
		assignment.AnnouncedBackoff(f.Clock.Now(), reading.Backoff)
	}

	if !reading.NotRun && reading.Backoff == 0 {
		assignment.Accepted()
	}

	if reading.NotRun {
		// The body says nothing more, but reading it keeps the connection.
		_, _ = answer.ReadAll(f.MaxResponseBytes)

		return merry.Prepend(backend.ErrRefused, string(assignment.ID()))
	}

	j.mayHaveRun = true
	j.countUsage()

	if j.route.Kind == ruleset.Streaming && answer.Status() == http.StatusOK && reading.Signed {
		return f.relayStream(ctx, j, assignment, answer, sink)
	}

	return f.relayBuffered(j, answer, reading, sink)
}

// relayBuffered passes an answer on that is not a stream, once it is whole.
func (f *Forwarder) relayBuffered(j *job, answer *upstream.Response, reading Reading, sink Sink) error {
	body, err := answer.ReadAll(f.MaxResponseBytes)
	if err != nil {
		return err
	}

	// The connection serves the next request while this answer is written.
	answer.Close()

	if !reading.Signed {
		return merry.Prependf(errUnsignedResponse, "status %d", answer.Status())
	}

	if answer.Status() >= http.StatusInternalServerError && j.stream.events == 0 {
		j.lastFailure = &bufferedResponse{status: answer.Status(), header: answer.Header(), body: body}

		return merry.Prependf(errServerFailed, "status %d", answer.Status())
	}

	if j.stream.begun {
		return merry.Prependf(errServerFailed, "status %d instead of the rest of a stream", answer.Status())
	}

	if err := sink.WriteResponse(answer.Status(), answer.Header(), body); err != nil {
		return merry.Prepend(errCallerWrite, "write answer", merry.WithCause(err))
	}

	return nil
}
