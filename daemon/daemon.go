// Package daemon is an entry instance: it wires every part together, runs it,
// and stops it without cutting a request.
//
// # Usage
//
//	d := &daemon.Daemon{Settings: s, Clock: clock.System{}}
//	err := d.Run(ctx)
//
// Run returns after a graceful stop, which begins when ctx ends.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/settings"
)

// Listeners are the sockets of a daemon. A daemon without them opens those of
// its settings.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Daemon is one entry instance. The exported fields are set before Run.
type Daemon struct {
	Settings settings.Daemon
	Clock    clock.Clock
	// Listeners are optional.
	Listeners *Listeners
	// Started is called with the addresses once all sockets listen; it may be nil.
	Started func(Addresses)
}

// Addresses tells where a daemon listens.
type Addresses struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Run serves until ctx ends, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}

	p, err := d.build(listeners)
	if err != nil {
		listeners.close()

		return err
	}

	if d.Started != nil {
		d.Started(listeners.addresses())
	}

	klog.InfoS("instance started", "instance", d.Settings.Instance, "addresses", listeners.addresses())

	return d.serve(ctx, p, listeners)
}

// serve runs every part until ctx ends or this instance is reclaimed. Control
// goes on while requests drain.
func (d *Daemon) serve(ctx context.Context, p *parts, l *Listeners) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()

	var group conc.WaitGroup

	group.Go(func() { p.run(control) })

	failed := make(chan error, 2)
	callers := p.callersServer()
	operators := p.operatorsServer()

	group.Go(func() { failed <- serveHTTP(callers, p.limited(l.Callers)) })
	group.Go(func() { failed <- serveHTTP(operators, l.Operators) })

	timeout := d.Settings.DrainTimeout

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case at := <-p.reclaimed:
		timeout = min(timeout, at.Sub(d.Clock.Now())-reclaimMargin)
	}

	d.drain(p, callers, timeout)
	stopControl()
	_ = operators.Close()

	// Control may still begin the work at an answer, and that work a call: each is
	// waited for once nothing is left that could begin another.
	group.Wait()
	p.answers.Wait()
	p.runner.Wait()
	klog.InfoS("instance stopped", "instance", d.Settings.Instance)

	return err
}

const (
	// lameDuck is how long a stopping instance takes connections and refuses what
	// they ask; it is at most one part in lameDuckShare of the drain timeout.
	lameDuck      = time.Second
	lameDuckShare = 4
	// reclaimMargin is left of a notice for the hand-off of answers.
	reclaimMargin = 2 * time.Second
	// handOffTimeout bounds the hand-off of the answers that outlive this instance.
	handOffTimeout = 2 * time.Second
	// handlersTimeout bounds the wait for requests whose connection was closed.
	handlersTimeout = 5 * time.Second
	// handOffEvery is the time between two looks at the hand-off.
	handOffEvery = 20 * time.Millisecond
)

// drain lets the requests that run come to their end, and hands off the answers
// that would take longer.
func (d *Daemon) drain(p *parts, callers *http.Server, timeout time.Duration) {
	p.gateway.Stop()

	if p.peers != nil {
		p.peers.group.Leave()
	}

	ctx, cancel := context.WithTimeout(context.Background(), max(timeout, 0))
	defer cancel()

	// The balancer is late: who still comes is told, not cut.
	clock.Sleep(ctx, d.Clock, min(lameDuck, timeout/lameDuckShare))

	err := callers.Shutdown(ctx)

	d.handOff(p)

	if err != nil {
		klog.InfoS("connections are closed at the end of the drain timeout", "timeout", timeout, "err", err)
		_ = callers.Close()
	}

	d.waitHandlers(p)
}

// waitHandlers waits for the handlers of connections that were closed.
func (d *Daemon) waitHandlers(p *parts) {
	ctx, cancel := context.WithTimeout(context.Background(), handlersTimeout)
	defer cancel()

	for p.gateway.OpenRequests() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, d.Clock, handOffEvery)
	}
}

// handOff gives the answers that still run to the instances that hold a copy.
func (d *Daemon) handOff(p *parts) {
	p.replicator.Leave()

	ctx, cancel := context.WithTimeout(context.Background(), handOffTimeout)
	defer cancel()

	for !p.replicator.HandedOff() && p.replicator.HasHeir() && ctx.Err() == nil {
		clock.Sleep(ctx, d.Clock, handOffEvery)
	}

	if !p.replicator.HandedOff() {
		klog.InfoS("answers could not be handed off", "kept", p.replicator.Counts().Answers)
	}

	p.answers.StopAll()
}

func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return merry.Prepend(err, "serve "+l.Addr().String())
}

func (d *Daemon) listen() (*Listeners, error) {
	if d.Listeners != nil {
		return d.Listeners, nil
	}

	l := &Listeners{}
	config := net.ListenConfig{KeepAlive: time.Minute}

	for _, s := range []struct {
		address string
		into    *net.Listener
	}{
		{d.Settings.Listen.Callers, &l.Callers},
		{d.Settings.Listen.Peers, &l.Peers},
		{d.Settings.Listen.Operators, &l.Operators},
	} {
		opened, err := config.Listen(context.Background(), "tcp", s.address)
		if err != nil {
			l.close()

			return nil, merry.Prepend(err, "listen on "+s.address)
		}

		*s.into = opened
	}

	return l, nil
}

func (l *Listeners) close() {
	for _, opened := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

func (l *Listeners) addresses() Addresses {
	return Addresses{
		Callers:   l.Callers.Addr().String(),
		Peers:     l.Peers.Addr().String(),
		Operators: l.Operators.Addr().String(),
	}
}
