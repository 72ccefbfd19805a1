package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"monsoonlever/backend"
	"monsoonlever/buffer"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// Errors of attempts whose response header was received.
var (
	errUnsignedResponse = merry.Sentinel("response is not signed by a backend server")
	errServerFailed     = merry.Sentinel("backend server failed the request")
	errCallerWrite      = merry.Sentinel("response could not be written to the caller")
)

// bufferedResponse is a complete response that was not relayed as a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// memory holds the body.
	memory *buffer.Reservation
}

// release releases the memory of the body.
func (r *bufferedResponse) release() {
	if r != nil {
		r.memory.Release()
	}
}

// attempt sends the request to one backend server and relays its response to the sink.
func (f *Forwarder) attempt(ctx context.Context, j *job, sink Sink) error {
	if j.prefersDetour() {
		return f.detour(ctx, j, sink)
	}

	began := f.Clock.Now()
	assignment, err := f.Scheduler.Place(ctx, f.Clock, j.schedulingRequest())
	j.queued += f.Clock.Now().Sub(began)

	if errors.Is(err, scheduling.ErrNoServer) && j.fullServers > 0 && j.detourPossible() {
		return f.detour(ctx, j, sink)
	}

	if err != nil {
		return err
	}

	if assignment.PathLost(f.Clock.Now()) {
		if j.detourPossible() {
			assignment.Release()

			return f.detour(ctx, j, sink)
		}

		if !f.Scheduler.Reaches(f.Clock.Now(), j.service) {
			assignment.Release()

			return merry.Prepend(scheduling.ErrNoServer, "no path to any server")
		}
	}

	j.excluded = append(j.excluded, assignment.ID())

	if !assignment.Start(f.Clock.Now()) {
		return merry.Wrap(backend.ErrNotSent, merry.WithCause(errServerBlocked))
	}

	server := upstream.Server{ID: assignment.ID(), Address: assignment.Address()}
	j.startTrial(assignment)

	response, err := f.Pool.Send(ctx, server, j.upstreamRequest(assignment))
	if err != nil {
		if errors.Is(err, upstream.ErrGarbled) && ctx.Err() == nil {
			assignment.ConnectionLost(f.Clock.Now())
		}

		f.endAttempt(ctx, j, assignment, err)
		f.recordLoss(ctx, j, assignment, false, err)

		return j.recordSendFailure(assignment, err)
	}
	defer response.Close()

	j.recordSent(assignment)
	err = f.relayResponse(ctx, j, assignment, response, sink)
	f.endAttempt(ctx, j, assignment, err)
	f.recordLoss(ctx, j, assignment, true, err)

	return err
}

// endAttempt reports the result of an attempt to the scheduler and to the trial of a new
// version.
func (f *Forwarder) endAttempt(ctx context.Context, j *job, a *scheduling.Assignment, err error) {
	f.recordCut(j, a, err)

	now, result := f.Clock.Now(), resultOf(ctx, err)
	a.End(now, result)
	j.trial.end(now, result, err)
}

// recordSent records that bytes of the request may have reached the server of an attempt.
func (j *job) recordSent(a *scheduling.Assignment) {
	j.sent++
	j.sentTo = append(j.sentTo, string(a.ID()))
	j.sentVersions = append(j.sentVersions, a.Version())
}

// recordSendFailure records that no response header was received from a server, and
// returns err. If the request may have been sent, the server counts as used.
func (j *job) recordSendFailure(a *scheduling.Assignment, err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		if isTimeout(err) {
			j.silent = true
		}

		if errors.Is(err, upstream.ErrConnectionLimit) {
			j.fullServers++
			j.forwarder.fullAt.Store(j.forwarder.Clock.Now().UnixNano())
		}

		return err
	}

	if errors.Is(err, upstream.ErrInterrupted) {
		j.silent = true
	}

	j.recordSent(a)
	j.mayHaveRun = true

	if !j.route.Generative {
		// A plain service runs a request as soon as it is received. A model engine sends
		// the header of its response when it begins to generate, and none was received.
		j.countUsage()
	}

	return err
}

// isTimeout reports whether an error is that of a dial which nothing responded to.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }

	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// countUsage counts the request as started in the usage of its client account, once.
func (j *job) countUsage() {
	if !j.usageCounted && j.account != nil {
		j.usageCounted = true
		j.forwarder.Usage.RequestStarted(j.account.Name)
	}
}

// resultOf returns what the error of an attempt means for the scheduler.
func resultOf(ctx context.Context, err error) scheduling.Result {
	switch {
	case err == nil:
		return scheduling.Served
	case errors.Is(err, backend.ErrRefused):
		return scheduling.Rejected
	case errors.Is(err, errCallerWrite), errors.Is(err, errRevoked), errors.Is(err, errQuarantined), errors.Is(err, errRetryBudget),
		errors.Is(err, errServerBlocked), errors.Is(err, upstream.ErrCut), errors.Is(err, scheduling.ErrNoServer),
		errors.Is(err, upstream.ErrConnectionLimit):
		return scheduling.Cancelled
	case errors.Is(err, unix.ECONNREFUSED):
		return scheduling.Terminated
	case errors.Is(err, upstream.ErrInterrupted):
		return scheduling.Unreachable
	case errors.Is(err, backend.ErrNotSent) && ctx.Err() == nil:
		return scheduling.Unreachable
	case ctx.Err() != nil:
		return scheduling.Cancelled
	default:
		return scheduling.Failed
	}
}

// relayResponse evaluates the header of a response and relays the response.
func (f *Forwarder) relayResponse(
	ctx context.Context, j *job, assignment *scheduling.Assignment, response *upstream.Response, sink Sink,
) error {
	reading := f.Protocol.Inspect(response.Status(), response.Header())
	assignment.Heard(f.Clock.Now())

	if response.OnNewConnection() {
		assignment.Connected(f.Clock.Now())
	}

	if reading.Load != nil {
		f.Scheduler.RecordLoad(f.Clock.Now(), assignment.ID(), *reading.Load)
	}

	if reading.Limit != nil {
		assignment.AnnouncedLimit(f.Clock.Now(), *reading.Limit)
	}

	if reading.MaxRejections != nil {
		assignment.AnnouncedBrittle(*reading.MaxRejections)
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
		response.Discard()

		return merry.Prepend(backend.ErrRefused, string(assignment.ID()))
	}

	j.mayHaveRun = true
	j.countUsage()

	if j.route.Kind == ruleset.Streaming && response.Status() == http.StatusOK && reading.Signed {
		return f.relayStream(ctx, j, assignment, response, sink)
	}

	return f.relayBuffered(ctx, j, assignment, response, reading, sink)
}

// relayBuffered reads a response that is not a stream and writes it to the sink once it is
// complete. A response of status 500 or above is kept as lastFailure instead, unless the
// caller has events of a stream already.
func (f *Forwarder) relayBuffered(
	ctx context.Context, j *job, assignment *scheduling.Assignment, response *upstream.Response, reading Reading, sink Sink,
) error {
	buffered, err := f.readBuffered(ctx, assignment, response)
	if err != nil {
		return err
	}

	if reading.Signed && buffered.status >= http.StatusInternalServerError && j.stream.events == 0 {
		j.lastFailure.release()
		j.lastFailure = buffered

		return merry.Prependf(errServerFailed, "status %d", buffered.status)
	}

	defer buffered.release()

	if !reading.Signed {
		return merry.Prependf(errUnsignedResponse, "status %d", buffered.status)
	}

	if j.stream.begun {
		return merry.Prependf(errServerFailed, "status %d instead of the rest of a stream", buffered.status)
	}

	if err := sink.WriteResponse(buffered.status, buffered.header, buffered.body); err != nil {
		return merry.Prepend(errCallerWrite, "write response", merry.WithCause(err))
	}

	return nil
}

// readBuffered reads a response that is not a stream to its end, and releases its connection.
func (f *Forwarder) readBuffered(
	ctx context.Context, assignment *scheduling.Assignment, response *upstream.Response,
) (*bufferedResponse, error) {
	memory := f.Buffers.Reserve()

	body, err := response.ReadAll(memory, f.MaxResponseBytes)
	if err == nil {
		err = f.checkEnd(ctx, assignment, response)
	}

	if err != nil {
		memory.Release()

		return nil, err
	}

	// Close first: other requests can use the connection while this response is written.
	response.Close()

	return &bufferedResponse{status: response.Status(), header: response.Header(), body: body, memory: memory}, nil
}
