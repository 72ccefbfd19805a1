package logstream

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
)

// collector keeps what a client delivers.
type collector struct {
	mu       sync.Mutex
	payloads []string
	horizons []time.Time
}

func (c *collector) Horizon(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.horizons = append(c.horizons, since)
}

func (c *collector) Entries(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, e := range entries {
		c.payloads = append(c.payloads, string(e.Payload()))
	}
}

func (c *collector) count(payload string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	n := 0
	for _, p := range c.payloads {
		if p == payload {
			n++
		}
	}

	return n
}

func TestAppendHasOneFinalResult(t *testing.T) {
	tests := []struct {
		desc      string
		script    []appendFault
		wantErr   error
		wantCount int
	}{
		{desc: "appended", script: nil, wantErr: nil, wantCount: 1},
		{desc: "refused", script: []appendFault{faultRefused}, wantErr: ErrRefused, wantCount: 0},
		{desc: "answer lost, found by reading", script: []appendFault{faultLostAnswer}, wantErr: nil, wantCount: 1},
		{desc: "never arrived, fenced", script: []appendFault{faultNeverArrives}, wantErr: ErrDead, wantCount: 0},
		{desc: "arrives after its fence", script: []appendFault{faultArrivesLate}, wantErr: ErrDead, wantCount: 0},
		{
			desc:      "fence's answer lost too",
			script:    []appendFault{faultNeverArrives, faultLostAnswer},
			wantErr:   ErrDead,
			wantCount: 0,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newMemoryLog(clock.System{})
				log.script = tt.script
				seen := &collector{}
				client := &Client{
					Log: log, Clock: clock.System{}, Stream: "test", Writer: "entry-1", Incarnation: 1,
					Subscribers: []Subscriber{seen},
				}
				ctx, cancel := context.WithCancel(t.Context())
				stopped := make(chan struct{})

				go func() {
					defer close(stopped)

					_ = client.Run(ctx)
				}()

				_, err := client.Append(KindFirst, []byte("x")).Wait(ctx)
				if !errors.Is(err, tt.wantErr) {
					t.Errorf("result: got %v, want %v", err, tt.wantErr)
				}

				log.arrive()

				if _, err := client.Append(KindFirst, []byte("y")).Wait(ctx); err != nil {
					t.Errorf("append afterwards: got %v, want no error", err)
				}

				synctest.Wait()

				if got, want := seen.count("x"), tt.wantCount; got != want {
					t.Errorf("entries read: got %d, want %d", got, want)
				}

				cancel()
				<-stopped
			})
		})
	}
}

func TestClientReportsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog(clock.System{})
		client := &Client{Log: log, Clock: clock.System{}, Stream: "test", Writer: "entry-1", Incarnation: 1}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})

		go func() {
			defer close(stopped)

			_ = client.Run(ctx)
		}()

		<-client.Ready()

		if got, want := client.Healthy(), true; got != want {
			t.Errorf("healthy with the log up: got %v, want %v", got, want)
		}

		log.setDown(true)
		ticket := client.Append(KindFirst, []byte("x"))
		time.Sleep(DefaultDownAfter + 2*time.Second)

		if got, want := client.Healthy(), false; got != want {
			t.Errorf("healthy in the outage: got %v, want %v", got, want)
		}

		log.setDown(false)

		if _, err := ticket.Wait(ctx); !errors.Is(err, ErrDead) {
			t.Errorf("append of the outage: got %v, want %v", err, ErrDead)
		}

		time.Sleep(time.Second)

		if got, want := client.Healthy(), true; got != want {
			t.Errorf("healthy after the outage: got %v, want %v", got, want)
		}

		cancel()
		<-stopped
	})
}

func TestClientRecoversFromARefusalWithNothingToAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog(clock.System{})
		log.script = []appendFault{faultRefused}
		client := &Client{Log: log, Clock: clock.System{}, Stream: "test", Writer: "entry-1", Incarnation: 1}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})

		go func() {
			defer close(stopped)

			_ = client.Run(ctx)
		}()

		if _, err := client.Append(KindFirst, []byte("x")).Wait(ctx); !errors.Is(err, ErrRefused) {
			t.Errorf("append: got %v, want %v", err, ErrRefused)
		}

		time.Sleep(time.Minute)

		if got, want := client.Healthy(), true; got != want {
			t.Errorf("healthy a minute after one refusal: got %v, want %v", got, want)
		}

		cancel()
		<-stopped
	})
}
