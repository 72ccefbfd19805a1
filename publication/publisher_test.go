package publication

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"monsoonlever/clock"
	"monsoonlever/finding"
	"monsoonlever/provider"
)

func newTestPublisher(l provider.Log) *Publisher {
	return &Publisher{Log: l, Clock: clock.NewManual(testStart), Random: rand.New(rand.NewPCG(1, 2))}
}

func TestPublishTellsTheLoserOfARaceWhoWon(t *testing.T) {
	l := newFaultyLog(testStart)
	p := newTestPublisher(l)
	ctx := context.Background()

	base, err := p.Publish(ctx, Request{Data: manifestNamed("base"), Operator: "ann"})
	if err != nil {
		t.Fatal(err)
	}

	winner, err := p.Publish(ctx, Request{Base: base.Version(), Data: manifestNamed("winner"), Operator: "bo"})
	if err != nil {
		t.Fatal(err)
	}

	_, err = p.Publish(ctx, Request{Base: base.Version(), Data: manifestNamed("loser"), Operator: "cy"})

	var c *Conflict
	if !errors.As(err, &c) {
		t.Fatalf("error of the loser: got %v, want a *Conflict", err)
	}

	if c.Version() != winner.Version() || c.Operator() != "bo" {
		t.Errorf("winner: got version %d by %q, want %d by bo", c.Version(), c.Operator(), winner.Version())
	}

	since, ok := c.Since()
	if !ok || len(since) != 1 || since[0].String() != "name: base -> winner" {
		t.Errorf("changes since: got %v, %v, want the name", since, ok)
	}

	if yours := c.Yours(); len(yours) != 1 || yours[0].String() != "name: winner -> loser" {
		t.Errorf("own changes: got %v, want the name", yours)
	}
}

func TestPublishAppendsNothingForAManifestWithFindings(t *testing.T) {
	l := newFaultyLog(testStart)

	_, err := newTestPublisher(l).Publish(context.Background(), Request{File: "x.jsonc", Data: []byte("{}")})

	var list *finding.Error
	if !errors.As(err, &list) || l.appends != 0 {
		t.Errorf("error: got %v after %d appends, want findings after none", err, l.appends)
	}
}

func TestPublishSaysNotPublishedWhereTheLogRefuses(t *testing.T) {
	l := newFaultyLog(testStart)
	refusing := refusingLog{faultyLog: l}

	_, err := newTestPublisher(refusing).Publish(context.Background(), Request{Data: manifestNumbered(1)})
	if !errors.Is(err, ErrNotPublished) {
		t.Errorf("error: got %v, want ErrNotPublished", err)
	}
}

func TestPublishFollowsAFenceOfAnother(t *testing.T) {
	l := newFaultyLog(testStart)
	p := newTestPublisher(fenceFirst{faultyLog: l, t: t})

	receipt, err := p.Publish(context.Background(), Request{Data: manifestNumbered(1)})
	if err != nil || receipt.Version() != 3 {
		t.Errorf("published: got version %d, %v, want 3", receipt.Version(), err)
	}
}

func TestResolveMakesALatePublicationVoid(t *testing.T) {
	tests := []struct {
		desc    string
		fault   fault
		wantOK  bool
		wantLog provider.Offset
	}{
		{desc: "the record was there all along", fault: faultAnswerLost, wantOK: true, wantLog: 1},
		{desc: "the record comes after the fence", fault: faultLate, wantLog: 1},
		{desc: "the record never comes", fault: faultLost, wantLog: 1},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			l := newFaultyLog(testStart)
			ctx, cancel := context.WithCancel(context.Background())
			p := newTestPublisher(cancelAfterAppend{faultyLog: l, cancel: cancel, fault: tt.fault})

			_, err := p.Publish(ctx, Request{Data: manifestNumbered(1)})

			var u *Unresolved
			if !errors.As(err, &u) {
				t.Fatalf("error: got %v, want an *Unresolved", err)
			}

			receipt, err := newTestPublisher(l).Resolve(context.Background(), u.ID(), u.Base())

			var c *Conflict
			if tt.wantOK != (err == nil) || !tt.wantOK && !errors.As(err, &c) {
				t.Fatalf("resolved: got %v, %v, want published %v", receipt, err, tt.wantOK)
			}

			for len(l.late) > 0 {
				l.deliver(0)
			}

			s := NewState()
			s.ApplyBatch(provider.Batch{Records: l.records, First: 1, Next: l.next()})

			if got := s.Version(); got != tt.wantLog {
				t.Errorf("version in the end: got %d, want %d", got, tt.wantLog)
			}
		})
	}
}

// refusingLog takes no append.
type refusingLog struct{ *faultyLog }

func (refusingLog) Append(context.Context, provider.Stream, []byte) (provider.Offset, error) {
	return 0, provider.ErrRefused
}

// fenceFirst adds a fence of another operator before the first record.
type fenceFirst struct {
	*faultyLog
	t *testing.T
}

func (l fenceFirst) Append(ctx context.Context, s provider.Stream, data []byte) (provider.Offset, error) {
	if l.appends == 0 {
		l.add(encoded(l.t, Fence{ID: "other"}))
	}

	return l.faultyLog.Append(ctx, s, data)
}

// cancelAfterAppend has a fault in an append and ends the context with it.
type cancelAfterAppend struct {
	*faultyLog
	cancel context.CancelFunc
	fault  fault
}

func (l cancelAfterAppend) Append(ctx context.Context, s provider.Stream, data []byte) (provider.Offset, error) {
	defer l.cancel()

	l.faultyLog.fault = l.fault
	defer func() { l.faultyLog.fault = faultNone }()

	return l.faultyLog.Append(ctx, s, data)
}
