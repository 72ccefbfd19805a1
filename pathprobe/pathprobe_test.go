package pathprobe

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

var errCut = errors.New("path is cut")

// Guards against requests that are lost one after the other at a server which was checked a moment
// before its path was cut.
func TestServerIsCheckedAgainAfterEachLostConnection(t *testing.T) {
	const atOnce = 400 * time.Millisecond

	var (
		mu    sync.Mutex
		cut   bool
		found = make(chan struct{}, 8)
	)

	path := scheduling.Path{ID: "i-1", Address: "127.0.0.1:1"}
	p := &Prober{
		Clock:  clock.NewSteady(),
		Paths:  func(time.Time) map[fleet.Service][]scheduling.Path { return nil },
		Silent: func(time.Time) []scheduling.Path { return nil },
		Dial: func(context.Context, scheduling.Path) error {
			mu.Lock()
			defer mu.Unlock()

			if cut {
				return errCut
			}

			return nil
		},
		Record: func(_ scheduling.Path, err error) {
			if err != nil {
				found <- struct{}{}
			}
		},
		SilentFailed: func(scheduling.Path, error) {},
		StillLost:    func(fleet.Service) {},
	}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		p.Run(ctx)
	}()

	p.Check(path)
	time.Sleep(2 * watchInterval)

	mu.Lock()
	cut = true
	mu.Unlock()

	p.Check(path)

	select {
	case <-found:
	case <-time.After(atOnce):
		t.Errorf("%v after the second lost connection: got no failed dial, want one", atOnce)
	}

	cancel()
	<-done
}
