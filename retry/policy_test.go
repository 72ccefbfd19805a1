package retry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/backend"
)

var (
	testStart = time.Unix(1_800_000_000, 0)
	testScope = NewScope("payrun-api", "wholesale-1")
)

// attemptError is the error of an attempt and whether a server may have run it.
type attemptError struct {
	err        error
	mayHaveRun bool
}

var attemptErrors = []attemptError{
	{err: backend.ErrNotSent},
	{err: fmt.Errorf("dial: %w", backend.ErrNotSent)},
	{err: errors.Join(backend.ErrNotSent, context.DeadlineExceeded)},
	{err: fmt.Errorf("503: %w", backend.ErrRefused)},
	{err: io.EOF, mayHaveRun: true},
	{err: io.ErrUnexpectedEOF, mayHaveRun: true},
	{err: syscall.ECONNRESET, mayHaveRun: true},
	{err: syscall.ECONNREFUSED, mayHaveRun: true},
	{err: context.DeadlineExceeded, mayHaveRun: true},
	{err: context.Canceled, mayHaveRun: true},
	{err: errors.New("500"), mayHaveRun: true},
}

func TestHoldsNoRetryOfNonIdempotentCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{Budgets: NewBudgets(BudgetPolicy{MinRetries: 1000}), MaxAttempts: 20}
		random := rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0)
		c := NewCall(testScope, false)
		now := testStart
		mayHaveRun := false

		p.CountCall(now, c)

		for range 20 {
			if at, ok := p.HedgeAt(c, now, time.Millisecond, 0); ok {
				t.Fatalf("hedge at %v of a non-idempotent call", at)
			}

			if p.TakeHedge(now, c) {
				t.Fatalf("hedge of a non-idempotent call")
			}

			o := rapid.SampledFrom(attemptErrors).Draw(t, "outcome")
			mayHaveRun = mayHaveRun || o.mayHaveRun
			d := p.Decide(now, random, c, o.err)

			if d.Retry() && mayHaveRun {
				t.Fatalf("retry after %q", o.err)
			}

			if c.MayHaveRun() != mayHaveRun {
				t.Fatalf("may have run after %q: got %v, want %v", o.err, c.MayHaveRun(), mayHaveRun)
			}

			now = now.Add(d.Delay())
		}
	})
}

func TestHoldsNoAttemptThatMissesDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{Budgets: NewBudgets(BudgetPolicy{MinRetries: 1000}), MaxAttempts: 20}
		random := rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0)
		expected := time.Duration(rapid.IntRange(0, 2000).Draw(t, "expected")) * time.Millisecond
		deadline := testStart.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
		c := NewCall(testScope, true).WithDeadline(deadline).WithExpectedDuration(expected)
		now := testStart

		for range 20 {
			if at, ok := p.HedgeAt(c, now, 500*time.Millisecond, 0); ok && at.Add(expected).After(deadline) {
				t.Fatalf("hedge at %v can't finish", at.Sub(testStart))
			}

			d := p.Decide(now, random, c, rapid.SampledFrom(attemptErrors).Draw(t, "outcome").err)
			if !d.Retry() {
				return
			}

			now = now.Add(d.Delay())
			if now.Add(expected).After(deadline) {
				t.Fatalf("attempt at %v can't finish", now.Sub(testStart))
			}

			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "took")) * time.Millisecond)
		}
	})
}

func TestDecideReturnsReason(t *testing.T) {
	tests := []struct {
		desc       string
		idempotent bool
		failed     int
		deadline   time.Duration
		least      int
		err        error
		want       Reason
	}{
		{desc: "not sent", err: backend.ErrNotSent, least: 9, want: None},
		{desc: "refused", err: backend.ErrRefused, least: 9, want: None},
		{desc: "unknown", err: io.ErrUnexpectedEOF, least: 9, want: MayHaveRun},
		{desc: "unknown but idempotent", idempotent: true, err: io.ErrUnexpectedEOF, least: 9, want: None},
		{desc: "last attempt", idempotent: true, failed: 2, err: io.EOF, least: 9, want: AttemptsExhausted},
		{desc: "deadline too near", idempotent: true, deadline: time.Second, err: backend.ErrNotSent, least: 9, want: DeadlineTooClose},
		{desc: "budget exhausted", idempotent: true, err: io.EOF, least: -1, want: BudgetExhausted},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			p := &Policy{Budgets: NewBudgets(BudgetPolicy{MinRetries: tt.least})}
			c := NewCall(testScope, tt.idempotent).WithExpectedDuration(2 * time.Second)
			c.failedAttempts = tt.failed

			if tt.deadline > 0 {
				c.WithDeadline(testStart.Add(tt.deadline))
			}

			d := p.Decide(testStart, rand.NewPCG(1, 2), c, tt.err)
			if got := d.Reason(); got != tt.want {
				t.Errorf("reason: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestHedgeRequiresIdempotentCallAndIdleService(t *testing.T) {
	tests := []struct {
		desc        string
		idempotent  bool
		failed      int
		utilisation float64
		deadline    time.Duration
		want        bool
	}{
		{desc: "idle service", idempotent: true, deadline: time.Minute, want: true},
		{desc: "not idempotent", deadline: time.Minute, want: false},
		{desc: "failed already", idempotent: true, failed: 1, deadline: time.Minute, want: false},
		{desc: "busy service", idempotent: true, utilisation: 0.8, deadline: time.Minute, want: false},
		{desc: "too late", idempotent: true, deadline: 2 * time.Second, want: false},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			p := &Policy{Budgets: NewBudgets(BudgetPolicy{})}
			c := NewCall(testScope, tt.idempotent).
				WithExpectedDuration(2 * time.Second).
				WithDeadline(testStart.Add(tt.deadline))
			c.failedAttempts = tt.failed

			_, got := p.HedgeAt(c, testStart, time.Second, tt.utilisation)
			if got != tt.want {
				t.Errorf("hedge: got %v, want %v", got, tt.want)
			}

			_ = p.TakeHedge(testStart, c)

			if got := p.TakeHedge(testStart, c); got {
				t.Errorf("second hedge: got %v, want false", got)
			}
		})
	}
}
