package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/scheduling"
)

// logLimitChange logs that a backend server announced a new limit.
func logLimitChange(c scheduling.LimitChange) {
	if c.After == ratelimit.Unlimited {
		klog.InfoS("backend server takes requests without a limit again", "server", c.Server, "before", c.Before)

		return
	}

	klog.InfoS("backend server limits its requests", "server", c.Server, "perSecond", c.After, "before", c.Before)
}

// logBrittleChange logs that a backend server became brittle, or no longer is.
func logBrittleChange(c scheduling.BrittleChange) {
	klog.InfoS("backend server announces how many rejections it bears", "server", c.Server, "perSecond", c.After, "before", c.Before)
}

// newPermits returns the limiter that requests permits for this instance and responds to requests
// of others.
func newPermits(p *components) *ratelimit.Limiter {
	return &ratelimit.Limiter{
		Self: p.self(), Clock: p.clock, Announcements: p.scheduler, Granter: &ratelimit.Granter{Self: p.self()},
		Counters: ratelimit.NewCounters(p.metrics),
		Leaders:  func() []fleet.InstanceID { return p.plan.Load().Leaders },
		Send: func(to fleet.InstanceID, request ratelimit.PermitRequest) {
			p.sendDatagram(to, datagram{PermitRequest: &request, PermitSlots: request.Slots})
		},
		SendReport: func(to fleet.InstanceID, report ratelimit.PermitReport) {
			p.sendDatagram(to, datagram{PermitReport: &report})
		},
	}
}
