package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"monsoonlever/answer"
	"monsoonlever/chat"
	"monsoonlever/clock"
	"monsoonlever/refusal"
)

// sink writes one model answer to its caller, as a stream or as one response.
type sink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	clock        clock.Clock
	writeTimeout time.Duration
	call         chatCall
	id           answer.RequestID
	chunks       *chat.ChunkWriter
	buf          []byte
	text         strings.Builder

	tokens        int
	firstToken    time.Time
	lastToken     time.Time
	refused       *refusal.Refusal
	callerGone    bool
	writeTimedOut bool
}

var _ answer.Sink = (*sink)(nil)

func (g *Gateway) newSink(w http.ResponseWriter, call chatCall, id answer.RequestID) *sink {
	return &sink{
		w:            w,
		control:      http.NewResponseController(w),
		clock:        g.Clock,
		writeTimeout: g.WriteTimeout,
		call:         call,
		id:           id,
		chunks:       chat.NewChunkWriter(string(id), call.request.Model, call.arrived.Unix()),
	}
}

// Write sends the next token of an answer that can't be resumed.
func (s *sink) Write(offset int, token string) error {
	return s.writeToken(nil, offset, token)
}

// writeToken sends the next token of a stream, or collects it for a single response.
// The event ID is empty if the caller can't resume the stream.
func (s *sink) writeToken(eventID []byte, offset int, token string) error {
	now := s.clock.Now()
	if s.tokens == 0 {
		s.firstToken = now
	}

	s.lastToken = now
	s.tokens++

	if !s.call.request.Stream {
		s.text.WriteString(token)

		return nil
	}

	if s.tokens == 1 {
		s.startStream()
	}

	s.buf = s.chunks.AppendToken(s.buf[:0], eventID, offset, token)

	return s.send(now)
}

// Complete sends the end of a stream, or the collected answer as a single response.
func (s *sink) Complete(c answer.Complete) error {
	usage := chat.Usage{
		PromptTokens:     c.Usage.PromptTokens,
		CompletionTokens: c.Tokens,
		TotalTokens:      c.Usage.PromptTokens + c.Tokens,
	}

	if !s.call.request.Stream {
		return s.sendResponse(c.Reason, usage)
	}

	if s.tokens == 0 {
		s.startStream()
	}

	var requestedUsage *chat.Usage
	if o := s.call.request.StreamOptions; o != nil && o.IncludeUsage {
		requestedUsage = &usage
	}

	s.buf = s.chunks.AppendFinish(s.buf[:0], c.Reason, requestedUsage)

	return s.send(s.clock.Now())
}

// GiveUp sends a refusal in place of the rest of the answer.
func (s *sink) GiveUp(g answer.GiveUp) error {
	s.callerGone = g.Reason == answer.ReasonCallerGone

	return s.fail(refusalOfGiveUp(g))
}

func (s *sink) fail(refused *refusal.Refusal) error {
	s.refused = refused

	// The refusal is also written if the caller seems to have disconnected: without
	// it the HTTP server would end the response as if the answer were complete.
	if !s.call.request.Stream || s.tokens == 0 {
		s.setWriteDeadline(s.clock.Now())
		s.refused.Write(s.w)

		return nil
	}

	body, err := json.Marshal(s.refused.Body())
	if err != nil {
		return err
	}

	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, body...)
	s.buf = append(s.buf, "\n\n"...)

	return s.send(s.clock.Now())
}

func (s *sink) startStream() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Request-Id", string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) send(now time.Time) error {
	s.setWriteDeadline(now)

	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.control.Flush()
	}

	s.writeTimedOut = s.writeTimedOut || errors.Is(err, os.ErrDeadlineExceeded)

	return err
}

// setWriteDeadline sets the deadline of the next write to the write timeout from now.
func (s *sink) setWriteDeadline(now time.Time) {
	// Writers without support for deadlines, as in tests, have no timeout.
	_ = s.control.SetWriteDeadline(now.Add(s.writeTimeout))
}

func (s *sink) sendResponse(finish string, usage chat.Usage) error {
	response := chat.NewResponse(
		string(s.id), s.call.request.Model, s.call.arrived.Unix(), s.text.String(), finish, usage,
	)

	s.setWriteDeadline(s.clock.Now())

	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", string(s.id))

	return json.NewEncoder(s.w).Encode(response)
}

// observation returns an observation with the fields that the sink measures.
func (s *sink) observation() Observation {
	o := Observation{Tokens: s.tokens, Refused: s.refused, CallerGone: s.callerGone, WriteTimedOut: s.writeTimedOut}

	if s.tokens > 0 {
		o.FirstToken = s.firstToken.Sub(s.call.arrived)
	}

	if s.tokens > 1 {
		o.BetweenTokens = s.lastToken.Sub(s.firstToken) / time.Duration(s.tokens-1)
	}

	return o
}

// refusalOfGiveUp returns the refusal for an answer that was given up.
func refusalOfGiveUp(g answer.GiveUp) *refusal.Refusal {
	run := refusal.Unknown
	if g.Ran == answer.NotRun {
		run = refusal.NotRun
	}

	code := refusal.AnswerLost

	switch {
	case g.Reason == answer.ReasonDeadline:
		code = refusal.DeadlinePassed
	case run != refusal.NotRun:
	case g.Reason == answer.ReasonNoServer:
		code = refusal.NoServer
	case g.Reason == answer.ReasonRetryBudget:
		code = refusal.ServerRefused
	default:
	}

	return refusal.New(code, "the answer was given up: %s", g.Reason).WithRun(run).WithRetryAfter(g.RetryAfter)
}
