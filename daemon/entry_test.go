package daemon

import (
	"context"
	"net"
	"sync"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/settings"
	"monsoonlever/standin"
)

// entry is one running daemon.
type entry struct {
	id        fleet.InstanceID
	domain    fleet.FailureDomain
	addresses Addresses
	parts     *parts
	stop      context.CancelFunc
	done      chan error
	callers   *cutListener
	peers     *cutListener
	platform  *standin.Faults
}

// avoids tells whether every backend server of a failure domain is known to leave.
func (e *entry) avoids(domain fleet.FailureDomain) bool {
	for _, s := range e.parts.table.Statuses() {
		if s.Domain() == domain && !s.Leaving() {
			return false
		}
	}

	return true
}

// kill ends a daemon the way a dying process does: the platform, its peers and
// its callers hear nothing more of it. What it still does reaches nobody.
func (e *entry) kill() {
	// The platform of each daemon has its own port, so that this cannot fail.
	_ = e.platform.Apply(standin.FaultOrder{Kind: standin.Kill})
	e.peers.cut()
	e.callers.cut()
	e.parts.answers.StopAll()
	e.stop()
}

// cutListener can close everything that it accepted.
type cutListener struct {
	net.Listener
	mu    sync.Mutex
	cutUp bool
	conns []net.Conn
}

// Accept takes a connection and remembers it.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.cutUp {
		_ = conn.Close()

		return nil, net.ErrClosed
	}

	l.conns = append(l.conns, conn)

	return conn, nil
}

// cut closes the listener and its connections at once.
func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.cutUp = true
	_ = l.Close()

	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// start runs the daemon with the settings of one entry instance.
func (d *deployment) start(i int) *entry {
	d.t.Helper()

	e, err := d.tryStart(d.settings[i])
	if err != nil {
		d.t.Fatalf("entry instance %d: %v", i, err)
	}

	d.entries = append(d.entries, e)

	return e
}

func (d *deployment) tryStart(s settings.Daemon) (*entry, error) {
	faults := standin.NewFaults(clock.System{})
	platformURL := "http://" + d.serve(d.platform.Handler(), faults)
	s.Platform = settings.Platform{Log: platformURL, List: platformURL, Cloud: platformURL, Weights: platformURL}

	e := &entry{
		id: s.Instance, domain: s.FailureDomain, done: make(chan error, 1), platform: faults,
		callers: &cutListener{Listener: d.listen()}, peers: &cutListener{Listener: d.listen()},
	}
	listeners := &Listeners{Callers: e.callers, Peers: e.peers, Operators: d.listen()}
	e.addresses = listeners.addresses()
	s.PeerAddress = e.addresses.Peers

	for _, other := range d.entries {
		s.Seeds = append(s.Seeds, other.addresses.Peers)
	}

	daemon := &Daemon{Settings: s, Clock: clock.System{}, Listeners: listeners}

	parts, err := daemon.build(listeners)
	if err != nil {
		listeners.close()

		return nil, err
	}

	ctx, stop := context.WithCancel(d.ctx)
	e.parts, e.stop = parts, stop
	d.group.Go(func() { e.done <- daemon.serve(ctx, parts, listeners) })

	return e, nil
}
