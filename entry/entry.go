// Package entry runs an entry instance: it connects the components that forward requests with the
// platform's store, and stops them without aborting a request.
//
// # Usage
//
//	e := &entry.Entry{Settings: s, Clock: clock.NewSteady()}
//	err := e.Run(ctx)
//
// Run returns after a graceful stop, which begins when ctx ends.
package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/settings"
)

// Entry is one entry instance. Its fields are set before Run.
type Entry struct {
	Settings settings.Entry
	Clock    clock.Clock
	// DialServer opens a connection to a backend server; nil selects TCP over IPv4.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// Reload delivers settings that were changed while the instance runs; it may be nil.
	Reload <-chan settings.Entry
	// LogHasRoom reports whether the log has room for successful requests; if it is nil, none of
	// them is logged.
	LogHasRoom func() bool
}

const (
	// headerTimeout bounds the time that a caller takes to send its header, unless rules allow more,
	// and then headerTimeoutMargin covers the way to this instance.
	headerTimeout       = 5 * time.Second
	headerTimeoutMargin = time.Second
	// idleTimeout bounds the time that a caller's connection is idle, unless rules allow more. Rules may
	// set a shorter one, which callers apply on their side.
	idleTimeout = 60 * time.Second
	// headerBytes bounds a caller's header, unless rules allow more, which is followed up to
	// maxRuleHeaderBytes.
	headerBytes        = 64 << 10
	maxRuleHeaderBytes = 1 << 20
	// maxControlHeaderBytes bounds the header of a readiness check or of a request for metrics.
	maxControlHeaderBytes = 4 << 10
	// lameDuckShare is the fraction of the stop timeout during which new connections are still
	// accepted: the load balancer checks readiness once a second and acts on the second result.
	lameDuckShare = 0.35
	// drainShare is the fraction of the stop timeout after which running requests are aborted, and
	// abortShare the fraction until which their callers are told.
	drainShare = 0.93
	abortShare = 0.98
	// detourDrainInterval is the time between two looks at the requests of other instances that
	// are still served.
	detourDrainInterval = 50 * time.Millisecond
)

// Run serves until ctx ends, and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}

	// A stop that is requested during the start takes effect once the instance runs.
	startCtx := context.WithoutCancel(ctx)

	listeners, err := e.listen(startCtx)
	if err != nil {
		return err
	}

	conn, err := e.openGossip(startCtx)
	if err != nil {
		closeAll(listeners)

		return err
	}

	replicas, err := e.listenReplicas(startCtx)
	if err != nil {
		closeAll(listeners)
		closeAll([]net.PacketConn{conn})

		return err
	}

	p := e.build()
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))

	defer stopControl()

	var group conc.WaitGroup

	group.Go(func() { p.run(control) })
	group.Go(func() { p.newGossip(conn).Run(control) })
	group.Go(func() { p.replicas.Run(control, replicas) })

	servers, guarded := p.httpServers(listeners)
	failed := make(chan error, len(servers))

	for i, l := range guarded {
		group.Go(func() { failed <- serve(servers[i], l) })
	}

	klog.InfoS("instance started", "instance", e.Settings.Instance, "failureDomain", e.Settings.FailureDomain,
		"callers", e.Settings.Listen.Callers)

	err = e.wait(ctx, p, failed)
	e.drain(p, servers)
	stopControl()
	group.Wait()
	klog.InfoS("instance stopped", "instance", e.Settings.Instance)

	return err
}

// wait applies changed settings until ctx ends or a server fails.
func (e *Entry) wait(ctx context.Context, p *components, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case s := <-e.Reload:
			p.reload(s)
		}
	}
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return merry.Prepend(err, "serve "+l.Addr().String())
}

// drain reports the instance as not ready, so that the load balancer sends callers elsewhere,
// still serves the requests that arrive, and waits for the running ones.
func (e *Entry) drain(p *components, servers []*http.Server) {
	begun := e.Clock.Now()
	stop := e.Settings.Bounds.Stop

	klog.InfoS("instance stops", "instance", e.Settings.Instance, "open", p.openRequests.Load())
	p.stopping.Store(true)
	p.forwarder.Drain.Begin(begun.Add(share(stop, drainShare)))
	p.links.StepDown()
	p.handler.Stopping.Store(true)
	p.streams.HandOver()
	p.announceStop()
	clock.Sleep(context.Background(), e.Clock, share(stop, lameDuckShare))

	until := func(fraction float64) (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), max(share(stop, fraction)-e.Clock.Now().Sub(begun), 0))
	}

	ctx, cancel := until(drainShare)
	defer cancel()

	err := servers[callersServerIndex].Shutdown(ctx)
	e.awaitDetours(ctx, p)

	if err != nil && p.openRequests.Load() > 0 {
		klog.InfoS("running requests were aborted at the end of the stop timeout", "open", p.openRequests.Load(), "err", err.Error())
		p.forwarder.Drain.Abort()

		ctx, cancel := until(abortShare)
		defer cancel()

		_ = servers[callersServerIndex].Shutdown(ctx) // the servers are closed in any case
	}

	for _, s := range servers {
		_ = s.Close()
	}
}

// share returns a fraction of a duration.
func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// awaitDetours waits for the requests that this instance serves for others.
func (e *Entry) awaitDetours(ctx context.Context, p *components) {
	for ctx.Err() == nil && p.detours.Served() > 0 {
		clock.Sleep(ctx, e.Clock, detourDrainInterval)
	}

	if n := p.detours.Served(); n > 0 {
		klog.InfoS("requests of other instances were aborted at the end of the stop timeout", "open", n)
	}
}

func (e *Entry) listen(ctx context.Context) ([]net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}

	var listeners []net.Listener

	for _, address := range e.addresses() {
		l, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			closeAll(listeners)

			return nil, merry.Prepend(err, "listen on "+address)
		}

		listeners = append(listeners, l)
	}

	return listeners, nil
}

const (
	// keepAliveInterval and keepAliveProbes detect callers that vanished without closing their
	// connection.
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
)

// callersServerIndex is the index of the callers' server in httpServers.
const callersServerIndex = 0

func (e *Entry) addresses() []string {
	addresses := []string{e.Settings.Listen.Callers, e.Settings.Listen.Readiness}
	if e.Settings.Listen.Operators != "" {
		addresses = append(addresses, e.Settings.Listen.Operators)
	}

	return addresses
}

// listenReplicas opens the TCP port at which other instances read the feeds of this one. It has
// the same number as the UDP port for gossip.
func (e *Entry) listenReplicas(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}

	l, err := config.Listen(ctx, "tcp4", e.Settings.Listen.Peers)

	return l, merry.Prepend(err, "listen on "+e.Settings.Listen.Peers)
}

func closeAll[C io.Closer](listeners []C) {
	for _, l := range listeners {
		_ = l.Close()
	}
}
