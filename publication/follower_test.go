package publication

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

// sharedLog lets goroutines share a faulty log and waits in reads as a log does.
type sharedLog struct {
	mu  sync.Mutex
	log *faultyLog
	// changed is closed with the next append or fault.
	changed chan struct{}
}

func newSharedLog() *sharedLog {
	return &sharedLog{log: newFaultyLog(time.Now()), changed: make(chan struct{})}
}

func (l *sharedLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *sharedLog) Append(ctx context.Context, s provider.Stream, data []byte) (provider.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wake()

	l.log.now = time.Now()

	return l.log.Append(ctx, s, data)
}

func (l *sharedLog) Read(ctx context.Context, s provider.Stream, from provider.Offset, limit int, wait time.Duration) (provider.Batch, error) {
	deadline := time.After(wait)

	for {
		l.mu.Lock()
		b, err := l.log.Read(ctx, s, from, limit, wait)
		changed := l.changed
		l.mu.Unlock()

		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}

		select {
		case <-changed:
		case <-deadline:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

func (l *sharedLog) setFault(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wake()

	l.log.fault = f
}

func (l *sharedLog) appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.log.appends
}

func runFollower(ctx context.Context, l provider.Log, seed uint64) *Follower {
	f := &Follower{Log: l, Clock: clock.System{}, Random: rand.New(rand.NewPCG(seed, seed))}

	go f.Run(ctx)

	return f
}

func TestFollowerHasAManifestInForceWithinSecondsAndThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		l := newSharedLog()
		f := runFollower(ctx, l, 1)
		p := &Publisher{Log: l, Clock: clock.System{}, Random: rand.New(rand.NewPCG(9, 9))}

		first, err := p.Publish(ctx, Request{Data: manifestNumbered(1)})
		if err != nil {
			t.Fatal(err)
		}

		time.Sleep(time.Second)

		if got := f.Version(); got != first.Version() {
			t.Errorf("after a second: got version %d, want %d", got, first.Version())
		}

		l.setFault(faultLost)
		time.Sleep(time.Hour)

		late := runFollower(ctx, l, 2)

		time.Sleep(time.Second)

		if f.Snapshot() == nil || late.Snapshot() != nil {
			t.Errorf("in an outage: got %v and %v, want the old one to serve and the new one not ready", f.Snapshot(), late.Snapshot())
		}

		c, _ := f.Checkpoint()
		if got := late.Adopt(c).Outcome(); got != Restored || late.Version() != first.Version() {
			t.Errorf("adopted from a peer: got %v with version %d, want %d", got, late.Version(), first.Version())
		}

		l.setFault(faultNone)
		time.Sleep(maxBackoff)

		second, err := p.Publish(ctx, Request{Base: first.Version(), Data: manifestNumbered(2)})
		if err != nil {
			t.Fatal(err)
		}

		time.Sleep(time.Second)

		if f.Version() != second.Version() || late.Version() != second.Version() {
			t.Errorf("after the outage: got versions %d and %d, want %d", f.Version(), late.Version(), second.Version())
		}

		cancel()
		synctest.Wait()
	})
}

func TestFollowersShareTheWritingOfCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			followers = 10
			retention = 4 * time.Hour // of the small manifest
			rounds    = 5
		)

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		l := newSharedLog()
		p := &Publisher{Log: l, Clock: clock.System{}, Random: rand.New(rand.NewPCG(9, 9))}

		if _, err := p.Publish(ctx, Request{Data: manifestNumbered(1)}); err != nil {
			t.Fatal(err)
		}

		for i := range followers {
			runFollower(ctx, l, uint64(i))
		}

		longest := time.Duration(0)
		last := time.Now()
		seen := l.appends()

		for range int(rounds * retention / time.Minute) {
			time.Sleep(time.Minute)

			if got := l.appends(); got != seen {
				seen = got
				last = time.Now()
			}

			longest = max(longest, time.Since(last))
		}

		// One checkpoint takes half of the retention and the least of 10 random
		// parts of a quarter, so 5 retentions see at most 10 of them; few meet.
		if got := seen - 1; got < rounds || got > 3*rounds {
			t.Errorf("checkpoints in %d retentions: got %d, want %d to %d", rounds, got, rounds, 3*rounds)
		}

		if longest >= retention*3/4+time.Minute {
			t.Errorf("longest time without a checkpoint: got %v, want less than %v", longest, retention*3/4)
		}

		cancel()
		synctest.Wait()
	})
}
