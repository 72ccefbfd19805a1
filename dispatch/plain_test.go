package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/refusal"
	"monsoonlever/routing"
)

const (
	idempotentCall    fleet.CallKind = "approval-status"
	nonIdempotentCall fleet.CallKind = "submit-bank-file"
)

var okReply = backend.Reply{Status: http.StatusOK}

func TestIdempotentCallLeavesHangingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{do: func(ctx context.Context, n int) (backend.Reply, error) {
			if n == 0 {
				<-ctx.Done()

				return backend.Reply{}, ctx.Err()
			}

			return okReply, nil
		}}
		p, _ := newPlain(t, f)

		start := time.Now()

		reply, refused := p.Call(t.Context(), newRequest(t, idempotentCall, 5*time.Second))
		if refused != nil || reply.Status != http.StatusOK {
			t.Fatalf("reply: got %+v (%v), want status 200", reply, refused)
		}

		got, want, backoff := time.Since(start), 2500*time.Millisecond, 100*time.Millisecond
		if got < want || got > want+backoff {
			t.Errorf("answered after: got %v, want %v and at most %v of backoff", got, want, backoff)
		}
	})
}

func TestIdempotentCallReportsRunState(t *testing.T) {
	tests := []struct {
		desc string
		err  error
		sent int
		want refusal.Code
		run  refusal.RunState
	}{
		{desc: "refused by all servers", err: backend.ErrRefused, sent: 4, want: refusal.ServerRefused, run: refusal.NotRun},
		{desc: "refused, retries exhausted", err: backend.ErrRefused, sent: 1, want: refusal.ServerRefused, run: refusal.NotRun},
		{desc: "not sent", err: backend.ErrNotSent, sent: 2, want: refusal.ServerRefused, run: refusal.NotRun},
		{desc: "connection cut", err: io.ErrUnexpectedEOF, sent: 2, want: refusal.OutcomeUnknown, run: refusal.Unknown},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{do: func(context.Context, int) (backend.Reply, error) { return backend.Reply{}, tt.err }}
				p, _ := newPlain(t, f)
				p.Retry = retryPolicy(tt.sent)

				_, refused := p.Call(t.Context(), newRequest(t, idempotentCall, 5*time.Second))
				if refused == nil || refused.Code() != tt.want || refused.Run() != tt.run || refused.RetryAfter() == 0 {
					t.Errorf("refusal: got %v, want %s and %s", refused, tt.want, tt.run)
				}

				if got := f.callCount(); got != tt.sent {
					t.Errorf("sent: got %d times, want %d", got, tt.sent)
				}
			})
		})
	}
}

func TestNonIdempotentCallIsResentOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		desc string
		errs []error
		sent int
		want error
	}{
		{desc: "refused, then answered", errs: []error{backend.ErrRefused, nil}, sent: 2},
		{desc: "not sent, then connection cut", errs: []error{backend.ErrNotSent, io.ErrUnexpectedEOF}, sent: 2, want: io.ErrUnexpectedEOF},
		{desc: "connection cut", errs: []error{io.ErrUnexpectedEOF, nil}, sent: 1, want: io.ErrUnexpectedEOF},
		{desc: "cancelled by the server", errs: []error{context.Canceled, nil}, sent: 1, want: context.Canceled},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{do: func(_ context.Context, n int) (backend.Reply, error) { return okReply, tt.errs[n] }}
				p, claims := newPlain(t, f)
				p.Call(t.Context(), newRequest(t, nonIdempotentCall, 30*time.Second))

				if !errors.Is(claims.err, tt.want) {
					t.Errorf("outcome: got %v, want %v", claims.err, tt.want)
				}

				if got := f.callCount(); got != tt.sent {
					t.Errorf("sent: got %d times, want %d", got, tt.sent)
				}
			})
		})
	}
}

func TestNonIdempotentCallContinuesWithoutCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		f := &fakeFleet{do: func(ctx context.Context, _ int) (backend.Reply, error) {
			cancel()

			select {
			case <-time.After(time.Second):
				return okReply, nil
			case <-ctx.Done():
				return backend.Reply{}, ctx.Err()
			}
		}}
		p, claims := newPlain(t, f)
		p.Call(ctx, newRequest(t, nonIdempotentCall, 30*time.Second))

		if claims.err != nil {
			t.Errorf("outcome: got %v, want an answer", claims.err)
		}
	})
}

func TestFailureIsAttributedToServerOrCaller(t *testing.T) {
	tests := []struct {
		desc string
		err  error
		took time.Duration
		want routing.Failure
	}{
		{desc: "refused dial", err: backend.ErrNotSent, want: routing.FailDial},
		{desc: "dial cancelled by the caller", err: errors.Join(backend.ErrNotSent, context.Canceled), want: routing.FailCancelled},
		{desc: "caller disconnected", err: context.Canceled, took: time.Minute, want: routing.FailCancelled},
		{desc: "deadline shorter than the target", err: context.DeadlineExceeded, took: time.Millisecond, want: routing.FailCancelled},
		{desc: "slower than the target", err: context.DeadlineExceeded, took: time.Second, want: routing.FailTimeout},
		{desc: "connection cut", err: io.ErrUnexpectedEOF, want: routing.FailReset},
		{desc: "refused", err: backend.ErrRefused, want: routing.FailRefused},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			call := failover{request: newRequest(t, idempotentCall, time.Second)}
			if got := call.classify(tt.err, tt.took); got != tt.want {
				t.Errorf("failure: got %v, want %v", got, tt.want)
			}
		})
	}
}
