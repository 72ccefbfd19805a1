package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/burn"
	"monsoonlever/clock"
	"monsoonlever/controller"
	"monsoonlever/discovery"
	"monsoonlever/dispatch"
	"monsoonlever/evacuation"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/manifest"
	"monsoonlever/publication"
	"monsoonlever/routing"
	"monsoonlever/settings"
)

// parts are what a daemon is made of.
type parts struct {
	settings    settings.Daemon
	clock       clock.Clock
	startedAt   time.Time
	incarnation fleet.Incarnation
	metrics     *metrics.Set
	follower    *publication.Follower
	claims      *claims
	table       *routing.Table
	leaving     *answer.Leaving
	directory   *discovery.Directory
	watcher     *discovery.Watcher
	admission   *admission.Controller
	recorder    *burn.Recorder
	runner      *answer.Runner
	desk        *evacuation.ExportScheduler
	replicator  *answer.Replicator
	answers     *dispatch.Answers
	// peers is nil for an instance without keys, which stands alone.
	peers *peers
	// controller is nil for an instance that takes no part in control.
	controller *controller.Controller
	gateway    *gateway.Gateway
	// reclaimed gets the time at which this instance itself is reclaimed.
	reclaimed chan time.Time
}

func (d *Daemon) build(l *Listeners) (*parts, error) {
	now := d.Clock.Now()
	p := &parts{
		settings:    d.Settings,
		clock:       d.Clock,
		startedAt:   now,
		incarnation: fleet.Incarnation(now.UnixNano()),
		metrics:     metrics.NewSet(),
		leaving:     &answer.Leaving{},
		reclaimed:   make(chan time.Time, 1),
	}

	p.buildControl()
	p.buildServers()
	p.buildRequests()
	p.buildController()

	return p, p.buildPeers(l)
}

// manifest returns the manifest in force, or nil.
func (p *parts) manifest() *manifest.Manifest {
	s := p.follower.Snapshot()
	if s == nil {
		return nil
	}

	return s.Manifest()
}

// run runs control until ctx ends.
func (p *parts) run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() { p.follower.Run(ctx) })
	group.Go(func() { p.claims.run(ctx) })
	group.Go(func() { p.watcher.Run(ctx) })
	group.Go(func() { _ = p.admission.Run(ctx) })
	group.Go(func() { p.desk.Run(ctx) })
	group.Go(func() { p.replicator.Run(ctx) })

	if p.controller != nil {
		group.Go(func() { p.runController(ctx) })
	}

	if p.peers != nil {
		group.Go(func() { p.peers.run(ctx) })
	}

	group.Wait()
}
