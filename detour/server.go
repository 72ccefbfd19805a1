package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"monsoonlever/buffer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/scheduling"
)

const (
	// maxServed and maxServedBytes bound the requests of other instances that this one serves at a
	// time, and their size, by which it keeps its memory for its own callers.
	maxServed      = 128
	maxServedBytes = 32 << 20
	// confirmTimeout bounds the time until an offer that was taken is confirmed.
	confirmTimeout = time.Second
)

// Server serves requests of other instances. Its exported fields are set before its first use.
type Server struct {
	Clock clock.Clock
	// Buffers bounds the memory of requests, beside maxServedBytes; nil is no bound.
	Buffers *buffer.Budget
	// Prepare checks a request and returns the function that runs it, or why this instance does
	// not serve it.
	Prepare func(context.Context, forward.DetourRequest) (func(context.Context, forward.Sink) forward.DetourResult, *forward.Refusal)

	served, servedBytes atomic.Int64
}

// Handle serves the one request of a connection whose preface was read, and closes the connection.
func (s *Server) Handle(ctx context.Context, conn net.Conn, reader *bufio.Reader) {
	defer conn.Close() //nolint:errcheck // the result was written, or the other end is gone

	if err := conn.SetReadDeadline(time.Now().Add(confirmTimeout)); err != nil {
		return
	}

	length, err := readLength(reader)
	if err != nil {
		klog.V(1).InfoS("offer of another instance could not be read", "err", err.Error())

		return
	}

	defer s.served.Add(-1)
	defer s.servedBytes.Add(-length)

	if served, bytes := s.served.Add(1), s.servedBytes.Add(length); served > maxServed || bytes > maxServedBytes {
		s.decline(conn, &forward.Refusal{Reason: forward.Overloaded, NotRun: true, Cause: "serves too many requests of other instances"})

		return
	}

	memory := s.Buffers.Reserve()
	defer memory.Release()

	var o offer
	if err := readBody(reader, memory, length, &o); err != nil {
		klog.V(1).InfoS("offer of another instance could not be read", "err", err.Error())

		return
	}

	run, refusal := s.Prepare(ctx, s.decode(&o))
	if refusal != nil {
		s.decline(conn, refusal)

		return
	}

	if err := awaitConfirmation(conn, reader); err != nil {
		klog.V(1).InfoS("offer of another instance was not confirmed", "id", o.ID, "from", o.From, "err", err.Error())

		return
	}

	s.run(ctx, conn, &o, run)
}

// Served returns the number of requests of other instances that are served now.
func (s *Server) Served() int { return int(s.served.Load()) }

func (s *Server) decline(conn net.Conn, r *forward.Refusal) {
	// The other instance asks the next one if the reply is lost.
	_ = writeMessage(conn, &frame{Kind: frameResult, Result: encodeResult(forward.DetourResult{Refusal: r})})
}

// awaitConfirmation says that the request is served, and waits for the confirmation.
func awaitConfirmation(conn net.Conn, reader *bufio.Reader) error {
	if err := writeMessage(conn, &frame{Kind: frameReady}); err != nil {
		return err
	}

	b, err := reader.ReadByte()
	if err != nil {
		return err
	}

	if b != confirmation {
		return merry.Prependf(ErrFrame, "byte %d instead of a confirmation", b)
	}

	return conn.SetReadDeadline(time.Time{})
}

// run runs a confirmed request until it ends or the other instance closes the connection.
func (s *Server) run(ctx context.Context, conn net.Conn, o *offer, run func(context.Context, forward.Sink) forward.DetourResult) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	go func() {
		// The other instance sends nothing more: any end of the read is the end of its interest.
		_, _ = io.Copy(io.Discard, conn)

		cancel()
	}()

	began := s.Clock.Now()
	outcome := run(runCtx, &frameSink{conn: conn})

	reason, cause := forward.Answered, ""
	if outcome.Refusal != nil {
		reason, cause = outcome.Refusal.Reason, outcome.Refusal.Cause
	}

	klog.InfoS("request of another instance", "id", o.ID, "from", o.From, "outcome", reason.String(), "service", o.Service,
		"servers", outcome.Servers, "took", s.Clock.Now().Sub(began), "cause", cause)

	if runCtx.Err() == nil {
		// Without the result the other instance takes the request for lost.
		_ = writeMessage(conn, &frame{Kind: frameResult, Result: encodeResult(outcome)})
	}
}

// decode returns the request that an offer describes.
func (s *Server) decode(o *offer) forward.DetourRequest {
	header := http.Header(o.Header)
	if header == nil {
		header = make(http.Header)
	}

	request := &forward.Request{
		ID: o.ID, Method: o.Method, Host: o.Host, Target: o.Target, Path: o.Path, Header: header, Body: o.Body,
		APIKey: o.APIKey, Arrived: s.Clock.Now().Add(-max(o.Elapsed, 0)), Timeout: max(o.Timeout, 0), ResumeAfter: o.ResumeAfter, Resumes: o.Resumes,
		Prompt: scheduling.Prompt{Tokens: o.Tokens, MaxOutputTokens: o.MaxOutputTokens},
	}

	for i, id := range o.SegmentIDs[:min(len(o.SegmentIDs), len(o.SegmentTokens))] {
		request.Prompt.Segments = append(request.Prompt.Segments, scheduling.Segment{ID: id, Tokens: o.SegmentTokens[i]})
	}

	return forward.DetourRequest{
		Request: request, Service: o.Service, RulesVersion: o.RulesVersion, Attempts: max(o.Attempts, 1),
		StreamBegun: o.StreamBegun, UsageCounted: o.UsageCounted, Version: o.Version,
	}
}

func encodeResult(r forward.DetourResult) *result {
	encoded := &result{Servers: r.Servers, MayHaveRun: r.MayHaveRun, UsageCounted: r.UsageCounted}

	if r.Refusal != nil {
		encoded.Refused, encoded.Reason, encoded.NotRun = true, r.Refusal.Reason, r.Refusal.NotRun
		encoded.RetryAfter, encoded.Cause = r.Refusal.RetryAfter, r.Refusal.Cause
	}

	return encoded
}

// frameSink writes the response to the other instance.
type frameSink struct {
	conn    net.Conn
	version fleet.Version
}

var _ forward.Sink = (*frameSink)(nil)

// WriteResponse writes a whole response.
func (s *frameSink) WriteResponse(status int, header http.Header, body []byte) error {
	return writeMessage(s.conn, &frame{Kind: frameResponse, Status: status, Header: header, Data: body})
}

// StreamVersion keeps the version for the header of the stream.
func (s *frameSink) StreamVersion(version fleet.Version) { s.version = version }

// BeginStream writes the header of a stream, and its version.
func (s *frameSink) BeginStream(status int, header http.Header) error {
	return writeMessage(s.conn, &frame{Kind: frameBegin, Status: status, Header: header, Version: s.version})
}

// WriteEvent writes one event of a stream.
func (s *frameSink) WriteEvent(event []byte) error {
	return writeMessage(s.conn, &frame{Kind: frameEvent, Data: event})
}

// Refuse does nothing: the result holds the refusal.
func (s *frameSink) Refuse(forward.Refusal) {}
