package settings

import (
	"time"

	"monsoonlever/fleet"
)

const (
	defaultDeployment   = "default"
	defaultEntryService = "monsoonlever"
	// defaultDrainTimeout exceeds the deadline of most calls, so that a planned stop
	// interrupts none of them. The stop ends as soon as the last call has finished.
	defaultDrainTimeout      = time.Hour
	defaultAppendsPerSecond  = 20.0
	maxAppendsPerSecondShare = 500.0
)

// Daemon holds the settings of monsoonleverd.
type Daemon struct {
	// Deployment separates the log streams of deployments that share a log.
	Deployment string `json:"deployment"`
	// Instance identifies this instance. A replacement instance has another ID.
	Instance      fleet.InstanceID    `json:"instance"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Listen        Listen              `json:"listen"`
	// PeerAddress is the IP:port that peers dial to reach this instance.
	PeerAddress string `json:"peerAddress"`
	// Seeds are peer addresses from which the instance requests the addresses of further
	// peers. Some of them may be unreachable.
	Seeds []string `json:"seeds"`
	// EntryService is the service under which the platform's list has the entry instances,
	// with their peer addresses. These addresses are seeds too.
	EntryService fleet.Service `json:"entryService"`
	TLS          *TLS          `json:"tls"`
	Platform     Platform      `json:"platform"`
	Limits       Limits        `json:"limits"`
	Control      Control       `json:"control"`
	// DrainTimeout limits the duration of a planned stop.
	DrainTimeout time.Duration `json:"drainTimeout"`
	// AppendsPerSecond is this instance's share of the log's append budget.
	AppendsPerSecond float64 `json:"appendsPerSecond"`
}

func defaultDaemon() Daemon {
	return Daemon{
		Deployment:       defaultDeployment,
		EntryService:     defaultEntryService,
		Limits:           defaultLimits(),
		Control:          defaultControl(),
		DrainTimeout:     defaultDrainTimeout,
		AppendsPerSecond: defaultAppendsPerSecond,
	}
}

func (s Daemon) check(c *checker) {
	c.name("deployment", s.Deployment)
	c.name("instance", string(s.Instance))
	c.name("region", string(s.Region))
	c.name("failureDomain", string(s.FailureDomain))
	s.Listen.check(c)
	c.dialAddress("peerAddress", s.PeerAddress)
	c.seeds("seeds", s.Seeds)
	c.name("entryService", string(s.EntryService))

	if s.TLS != nil {
		s.TLS.check(c)
	}

	s.Platform.check(c)
	s.Limits.check(c)
	s.Control.check(c)
	c.positive("drainTimeout", s.DrainTimeout)

	if s.AppendsPerSecond <= 0 || s.AppendsPerSecond > maxAppendsPerSecondShare {
		c.report("appendsPerSecond", "must be above 0 and at most %g", maxAppendsPerSecondShare)
	}
}
