package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"monsoonlever/refusal"
)

// balancer spreads callers over the entry instances that take them.
type balancer struct {
	mu      sync.Mutex
	entries []*entry
	turn    int
}

func newBalancer(entries []*entry) *balancer {
	return &balancer{entries: append([]*entry(nil), entries...)}
}

func (b *balancer) replace(i int, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.entries[i] = e
}

func (b *balancer) next() *entry {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.turn++

	return b.entries[b.turn%len(b.entries)]
}

// load keeps calls with keys and streams running until finish.
type load struct {
	deployment *deployment
	balancer   *balancer
	over       atomic.Bool
	group      conc.WaitGroup

	mu      sync.Mutex
	calls   []*keyed
	streams int
	again   int
}

func newLoad(d *deployment, b *balancer, workers int) *load {
	l := &load{deployment: d, balancer: b}

	for i := range workers {
		l.group.Go(func() { l.callOn(i) })
		l.group.Go(func() { l.streamOn(i) })
	}

	return l
}

// callOn makes one call with a key after the other.
func (l *load) callOn(worker int) {
	for i := 0; !l.over.Load(); i++ {
		k := &keyed{key: fmt.Sprintf("rolling-%d-%d", worker, i)}

		for l.deployment.ctx.Err() == nil {
			run := l.deployment.submit(l.balancer.next(), k)
			if run == refusal.Ran {
				break
			}

			l.note(func() { l.again++ })

			if run == refusal.Unknown {
				l.deployment.t.Errorf("%s: got told %v, %d connections broken, want no unknown outcome", k.key, k.told, k.broken)

				break
			}
		}

		l.note(func() { l.calls = append(l.calls, k) })
	}
}

// streamOn asks for one streamed answer after the other. A stream that began
// may not break off.
func (l *load) streamOn(worker int) {
	for i := 0; !l.over.Load(); i++ {
		prompt := fmt.Sprintf("rolling %d %d", worker, i)
		got, err := l.deployment.ask(l.balancer.next(), prompt, 100, nil)

		if refused(err) || got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
			l.note(func() { l.again++ })

			continue
		}

		if want := wantAnswer(prompt, 100); err != nil || !got.whole || got.text != want {
			l.deployment.t.Errorf("%s: got status %d, whole %v, %q, %v, want %q", prompt, got.status, got.whole, got.text, err, want)
		}

		l.note(func() { l.streams++ })
	}
}

// refused tells whether no connection was made, as when a balancer is late.
func refused(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}

func (l *load) note(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change()
}

// finish ends the load and checks what was told.
func (l *load) finish() {
	l.deployment.t.Helper()
	l.over.Store(true)
	l.group.Wait()

	l.deployment.t.Logf("%d calls with keys, %d streams, %d asked again", len(l.calls), l.streams, l.again)
	l.deployment.checkKeyed(l.calls)
}
