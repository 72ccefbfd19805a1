package answer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// Leaving holds the reclaim notices of backend servers. Readers take no lock.
type Leaving struct {
	mu      sync.Mutex
	current atomic.Pointer[leavingView]
}

// leavingView is never changed once it is published; changed is closed when
// the next view is.
type leavingView struct {
	at      map[fleet.InstanceID]time.Time
	changed chan struct{}
}

// Announce records that a server will be reclaimed at a time.
func (l *Leaving) Announce(server fleet.InstanceID, at time.Time) {
	l.replace(func(m map[fleet.InstanceID]time.Time) { m[server] = at })
}

// Forget drops a server that is gone.
func (l *Leaving) Forget(server fleet.InstanceID) {
	l.replace(func(m map[fleet.InstanceID]time.Time) { delete(m, server) })
}

// At returns when a server will be reclaimed, if that was announced.
func (l *Leaving) At(server fleet.InstanceID) (time.Time, bool) {
	at, ok := l.view().at[server]

	return at, ok
}

// Changed returns a channel that is closed at the next change.
func (l *Leaving) Changed() <-chan struct{} { return l.view().changed }

func (l *Leaving) view() *leavingView {
	if v := l.current.Load(); v != nil {
		return v
	}

	l.current.CompareAndSwap(nil, &leavingView{changed: make(chan struct{})})

	return l.current.Load()
}

func (l *Leaving) replace(change func(map[fleet.InstanceID]time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	old := l.view()
	next := &leavingView{
		at:      make(map[fleet.InstanceID]time.Time, len(old.at)+1),
		changed: make(chan struct{}),
	}
	maps.Copy(next.at, old.at)
	change(next.at)
	l.current.Store(next)
	close(old.changed)
}
