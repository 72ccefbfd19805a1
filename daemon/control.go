package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/backend"
	"monsoonlever/controller"
	"monsoonlever/discovery"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/settings"
)

// controlShare returns the part of this instance's appends that control takes.
func (p *parts) controlShare() float64 {
	if p.settings.Control.Mode == settings.ControlOff {
		return 0
	}

	return min(controller.DefaultAppendsPerSecond, p.settings.AppendsPerSecond/2)
}

// buildController makes the candidate for the control of the region.
func (p *parts) buildController() {
	if p.settings.Control.Mode == settings.ControlOff {
		return
	}

	p.controller = &controller.Controller{
		Instance: p.settings.Instance, Incarnation: p.incarnation,
		Region: p.settings.Region, Deployment: p.settings.Deployment,
		Log:              provider.NewHTTPLog(p.settings.Platform.Log, newClient()),
		Cloud:            provider.NewHTTPCloud(p.settings.Platform.Cloud, newClient()),
		Clock:            p.clock,
		AppendsPerSecond: p.controlShare(),
		Manifest:         p.manifest,
		Servers:          (*controlServers)(p),
		Costs:            p.recorder,
		Act:              p.settings.Control.Mode == settings.ControlAct,
		Metrics:          p.metrics,
	}
}

func (p *parts) runController(ctx context.Context) {
	if err := p.controller.Run(ctx); err != nil {
		klog.ErrorS(err, "this instance takes no part in control")
	}
}

// controlServers shows the backend servers to control.
type controlServers parts

var _ controller.Servers = (*controlServers)(nil)

// All returns what this instance knows of every server.
func (c *controlServers) All() ([]controller.Server, bool) {
	var servers []controller.Server

	for _, s := range c.table.Statuses() {
		known, ok := c.directory.Server(s.ID())
		if !ok {
			continue
		}

		servers = append(servers, controller.Server{
			ID: s.ID(), Service: s.Key().Service(), Domain: s.Domain(), Client: controlClient{server: known},
			InFlight: s.Load(), Ready: !s.Loading() && !s.Ejected(), Leaving: s.Leaving(),
		})
	}

	_, listed := c.watcher.Listed()

	return servers, listed
}

// MarkLeaving tells every entry instance that a server gets no new work.
func (c *controlServers) MarkLeaving(id fleet.InstanceID, at time.Time) {
	c.watcher.Heard(id, at)

	if c.peers != nil {
		c.peers.tell(kindLeaving, LeavingNews{Instance: id, At: at})
	}
}

// controlClient asks a backend server for control.
type controlClient struct {
	server *discovery.Server
}

// Load returns the load of a server of either kind.
func (c controlClient) Load(ctx context.Context) (backend.LoadReport, error) {
	return c.server.Plain().Load(ctx)
}

// Order gives an order to a model engine.
func (c controlClient) Order(ctx context.Context, o backend.Order) error {
	return c.server.Engine().Order(ctx, o)
}

// State returns what a model engine holds.
func (c controlClient) State(ctx context.Context) (backend.EngineState, error) {
	return c.server.Engine().State(ctx)
}
