package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"monsoonlever/buffer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/upstream"
)

const (
	// maxOffers bounds the instances to which a request is offered.
	maxOffers = 4
	// minOfferTimeout and maxOfferTimeout bound the time from the dial of a helping instance to its
	// reply to an offer, beside the time to transfer the body: some round trips across failure
	// domains, the helping instance's look for a path and a moment without the processor. Between
	// them it is offerShare of the time that the caller still waits.
	minOfferTimeout = 250 * time.Millisecond
	maxOfferTimeout = time.Second
	offerShare      = 0.2
	// transferTime is the time for each byte of a body on a small link.
	transferTime = time.Microsecond
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
)

// errBusy means that an instance has no room for a request at the moment.
var errBusy = merry.Sentinel("not taken: instance is busy")

// Client has other instances serve requests. Its exported fields are set before its first use.
type Client struct {
	Clock   clock.Clock
	Self    fleet.InstanceID
	Helpers *Helpers
	Dialer  *net.Dialer
	// Slots bounds the connections to other instances; it may be nil.
	Slots *upstream.Slots
	// Counters may be nil.
	Counters *Counters
	// Buffers bounds the memory of responses; nil is no bound.
	Buffers *buffer.Budget
}

var _ forward.Detour = (*Client)(nil)

// Available reports whether an instance may help with a service.
func (c *Client) Available(service fleet.Service) bool {
	return c.Helpers.Available(c.Clock.Now(), service)
}

// Serve offers a request to one instance after another, and passes the response of the first that
// takes it to the sink. The error wraps forward.ErrNoHelper if none takes it, and
// upstream.ErrGarbled if the instance that took it closed the connection before the result.
func (c *Client) Serve(ctx context.Context, r forward.DetourRequest, sink forward.Sink) (forward.DetourResult, error) {
	var (
		tried []fleet.InstanceID
		last  error
	)

	for range maxOffers {
		helper, address, ok := c.Helpers.choose(c.Clock.Now(), r.Service, tried)
		if !ok || ctx.Err() != nil {
			break
		}

		tried = append(tried, helper.ID)

		conn, err := c.offer(ctx, address, r)
		if err != nil {
			c.Helpers.release(c.Clock.Now(), helper.ID, r.Service, ctx.Err() == nil && !errors.Is(err, errBusy))
			c.Counters.declined()
			klog.InfoS("another instance did not take a request", "id", r.Request.ID, "service", r.Service, "instance", helper.ID, "cause", err.Error())

			last = merry.Prependf(err, "offer to %s", helper.ID)

			continue
		}

		if err := beforeConfirm(r); err != nil {
			_ = conn.Close() // the other instance forgets what is not confirmed
			c.Helpers.release(c.Clock.Now(), helper.ID, r.Service, false)

			return forward.DetourResult{}, merry.Prependf(err, "detour by %s", helper.ID)
		}

		result, err := conn.confirm(ctx, sink)
		_ = conn.Close()
		noServer := err == nil && result.Refusal != nil && result.Refusal.Reason == forward.NoServer
		c.Helpers.release(c.Clock.Now(), helper.ID, r.Service, noServer || err != nil && ctx.Err() == nil)
		c.Counters.taken(err)

		return result, merry.Prependf(err, "detour by %s", helper.ID)
	}

	if ctx.Err() != nil {
		return forward.DetourResult{}, merry.Prepend(forward.ErrNoHelper, "offers", merry.WithCause(ctx.Err()))
	}

	return forward.DetourResult{}, merry.Prepend(forward.ErrNoHelper, "offers", merry.WithCause(last))
}

func beforeConfirm(r forward.DetourRequest) error {
	if r.BeforeConfirm == nil {
		return nil
	}

	return r.BeforeConfirm()
}

// connection is a connection to an instance that has offered to serve a request.
type connection struct {
	net.Conn

	reader *bufio.Reader
	// memory holds the message that is read.
	memory *buffer.Reservation
	slots  *upstream.Slots
}

// Close closes the connection and releases its memory and its slot. It is called once.
func (conn *connection) Close() error {
	conn.memory.Release()
	conn.slots.Release(1)

	return conn.Conn.Close()
}

// offer connects to an instance and returns once it is ready to serve the request.
func (c *Client) offer(ctx context.Context, address netip.AddrPort, r forward.DetourRequest) (*connection, error) {
	offerCtx, cancel := context.WithTimeout(ctx, c.offerTimeout(r.Request))
	defer cancel()

	if !c.Slots.Take() {
		return nil, merry.Prepend(errBusy, "no connection is free")
	}

	dialled, err := c.Dialer.DialContext(offerCtx, "tcp4", address.String())
	if err != nil {
		c.Slots.Release(1)

		return nil, err
	}

	conn := &connection{Conn: dialled, reader: bufio.NewReaderSize(dialled, readBuffer), memory: c.Buffers.Reserve(), slots: c.Slots}

	if err := c.exchangeOffer(offerCtx, conn, r); err != nil {
		_ = conn.Close()

		return nil, err
	}

	return conn, nil
}

// offerTimeout returns how long an instance has for its reply to an offer.
func (c *Client) offerTimeout(r *forward.Request) time.Duration {
	left := r.Timeout - c.Clock.Now().Sub(r.Arrived)
	share := time.Duration(offerShare * float64(left))

	return min(max(share, minOfferTimeout), maxOfferTimeout) + time.Duration(len(r.Body))*transferTime
}

func (c *Client) exchangeOffer(ctx context.Context, conn *connection, r forward.DetourRequest) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	defer stop()

	if _, err := io.WriteString(conn, Preface); err != nil {
		return err
	}

	if err := writeMessage(conn, c.makeOffer(r)); err != nil {
		return err
	}

	var reply frame
	if err := readMessage(conn.reader, conn.memory, &reply); err != nil {
		return err
	}

	if !stop() {
		return ctx.Err()
	}

	if reply.Kind != frameReady {
		if reply.Result != nil && reply.Result.Reason == forward.Overloaded {
			return merry.Prepend(errBusy, reply.Result.Cause)
		}

		if reply.Result != nil {
			return merry.Errorf("not taken: %s %s", reply.Result.Reason, reply.Result.Cause)
		}

		return merry.Prependf(ErrFrame, "kind %d instead of a reply", reply.Kind)
	}

	return nil
}

func (c *Client) makeOffer(r forward.DetourRequest) *offer {
	o := &offer{
		From: c.Self, ID: r.Request.ID, Method: r.Request.Method, Host: r.Request.Host, Target: r.Request.Target, Path: r.Request.Path,
		Header: r.Request.Header, Body: r.Request.Body, APIKey: r.Request.APIKey, ResumeAfter: r.Request.ResumeAfter,
		Resumes: r.Request.Resumes, Version: r.Version,
		Service: r.Service, RulesVersion: r.RulesVersion, Attempts: r.Attempts,
		Tokens: r.Request.Prompt.Tokens, MaxOutputTokens: r.Request.Prompt.MaxOutputTokens,
		Elapsed: c.Clock.Now().Sub(r.Request.Arrived), Timeout: r.Request.Timeout,
		StreamBegun: r.StreamBegun, UsageCounted: r.UsageCounted,
	}

	for _, segment := range r.Request.Prompt.Segments {
		o.SegmentIDs = append(o.SegmentIDs, segment.ID)
		o.SegmentTokens = append(o.SegmentTokens, segment.Tokens)
	}

	return o
}

// confirm has the instance serve the request, and passes its response to the sink.
func (conn *connection) confirm(ctx context.Context, sink forward.Sink) (forward.DetourResult, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	defer stop()

	if _, err := conn.Write([]byte{confirmation}); err != nil {
		return forward.DetourResult{}, connectionError(ctx, err)
	}

	for {
		var f frame
		if err := readMessage(conn.reader, conn.memory, &f); err != nil {
			return forward.DetourResult{}, connectionError(ctx, err)
		}

		if f.Kind == frameResult {
			return decodeResult(f.Result)
		}

		if err := pass(f, sink); err != nil {
			return forward.DetourResult{MayHaveRun: true}, err
		}
	}
}

// pass passes a frame of a response to the sink.
func pass(f frame, sink forward.Sink) error {
	switch f.Kind {
	case frameResponse:
		return sink.WriteResponse(f.Status, http.Header(f.Header), f.Data)
	case frameBegin:
		sink.StreamVersion(f.Version)

		return sink.BeginStream(f.Status, http.Header(f.Header))
	case frameEvent:
		return sink.WriteEvent(f.Data)
	case frameReady, frameResult:
	}

	return merry.Prependf(ErrFrame, "kind %d in a response", f.Kind)
}

// connectionError returns the error for a connection that ended before the result. One that the
// other instance closed or reset wraps upstream.ErrGarbled: it has cancelled the request.
func connectionError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return merry.Prepend(upstream.ErrGarbled, ErrBroken.Error(), merry.WithCause(err))
	default:
		return merry.Prepend(ErrBroken, "read", merry.WithCause(err))
	}
}

func decodeResult(r *result) (forward.DetourResult, error) {
	if r == nil {
		return forward.DetourResult{}, merry.Prepend(ErrFrame, "no result")
	}

	decoded := forward.DetourResult{Servers: r.Servers, MayHaveRun: r.MayHaveRun, UsageCounted: r.UsageCounted}

	if r.Refused {
		if !r.Reason.Valid() {
			return decoded, merry.Prependf(ErrFrame, "reason %d", int(r.Reason))
		}

		decoded.Refusal = &forward.Refusal{Reason: r.Reason, NotRun: r.NotRun, RetryAfter: max(r.RetryAfter, 0), Cause: r.Cause}
	}

	return decoded, nil
}
