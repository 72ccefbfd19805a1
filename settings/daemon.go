package settings

import (
	"time"

	"monsoonlever/fleet"
)

const (
	defaultDeployment   = "default"
	defaultEntryService = "monsoonlever"
	// defaultDrainTimeout is above the deadline of most calls: a planned stop that
	// cuts no request ends with the last of them.
	defaultDrainTimeout      = time.Hour
	defaultAppendsPerSecond  = 20.0
	maxAppendsPerSecondShare = 500.0
)

// Daemon holds the settings of monsoonleverd.
type Daemon struct {
	// Deployment keeps the log streams of deployments on one log apart.
	Deployment string `json:"deployment"`
	// Instance is unique for the life of the instance; a replacement has another.
	Instance      fleet.InstanceID    `json:"instance"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Listen        Listen              `json:"listen"`
	// PeerAddress is the host:port at which peers reach this instance.
	PeerAddress string `json:"peerAddress"`
	// Seeds are peer addresses to ask for the others; they may be gone.
	Seeds []string `json:"seeds"`
	// EntryService names the entry instances in the platform's list, whose
	// addresses there are those for peers. They serve as seeds too.
	EntryService fleet.Service `json:"entryService"`
	TLS          *TLS          `json:"tls"`
	Platform     Platform      `json:"platform"`
	Limits       Limits        `json:"limits"`
	Control      Control       `json:"control"`
	// DrainTimeout bounds a planned stop.
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
