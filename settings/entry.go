package settings

import (
	"time"

	"monsoonlever/fleet"
)

// Entry holds the settings of an entry instance on the users' platform, where
// rules, backend servers and other instances are found through the platform's
// store.
type Entry struct {
	// Instance is unique among the instances of a deployment.
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Region        fleet.Region        `json:"region"`
	Listen        EntryListen         `json:"listen"`
	// Store is the host:port of the platform's store, Cloud that of its API.
	Store string `json:"store"`
	Cloud string `json:"cloud"`
	// StoreRetention is how long the store keeps records.
	StoreRetention time.Duration `json:"storeKeeps"`
	// Duties are the calls to the cloud API that one instance makes for all.
	Duties []Duty        `json:"duties"`
	Limits MachineLimits `json:"limits"`
	Bounds Bounds        `json:"bounds"`
}

// Duty is a kind of call that one instance makes for all.
type Duty string

// The duties.
const (
	// ReportUsage tells what client accounts have used.
	ReportUsage Duty = "usage"
	// OrderServers sets the number of backend servers.
	OrderServers Duty = "scaling"
)

// EntryListen holds the addresses at which an entry instance accepts connections.
type EntryListen struct {
	// Callers is the address for client accounts.
	Callers string `json:"callers"`
	// Readiness is where the balancer asks whether to send callers here.
	Readiness string `json:"readiness"`
	// Peers is the address for other entry instances, and where these reach it.
	Peers string `json:"peers"`
	// Operators is the address for metrics.
	Operators string `json:"operators"`
}

// MachineLimits is what an instance may use.
type MachineLimits struct {
	MemoryMegabytes float64 `json:"memoryMegabytes"`
	// ProcessorCores may be a part of one. Larger instances relay and lead first.
	ProcessorCores  float64 `json:"processorCores"`
	FileDescriptors float64 `json:"fileDescriptors"`
}

// MemoryBytes returns the memory that an instance may use.
func (m MachineLimits) MemoryBytes() int64 { return int64(m.MemoryMegabytes * (1 << 20)) }

// Bounds are what operators demand of all instances together.
type Bounds struct {
	// Revocation is how long after a change of the rules a key that it took away
	// may still be used; zero is not bounded.
	Revocation time.Duration `json:"revocation"`
	// Drain is how long a backend server goes on serving once it is known to leave.
	Drain time.Duration `json:"drain"`
	// Stop is the time from SIGTERM until the process is killed.
	Stop time.Duration `json:"stop"`
	// Retries are bounded by RetryShare of the requests of a service in any
	// RetryWindow, and RetryExtra more, over all instances.
	RetryShare  float64       `json:"retryShare"`
	RetryWindow time.Duration `json:"retryWindow"`
	RetryExtra  float64       `json:"retryExtra"`
	// Limits of client accounts may be exceeded by LimitOvershoot of what a
	// LimitWindow holds and by LimitSlack.
	LimitWindow    time.Duration `json:"limitWindow"`
	LimitOvershoot float64       `json:"limitOvershoot"`
	LimitSlack     float64       `json:"limitSlack"`
	// TrialShare and TrialSlack are the part of a service's requests, from the order of a
	// new version to its deadline, and how many more, that a bad version may get. TrialStop
	// is the time after which nobody may send to one that has shown itself bad.
	TrialShare float64       `json:"trialShare"`
	TrialSlack float64       `json:"trialSlack"`
	TrialStop  time.Duration `json:"trialStop"`
	// Lease is the shortest time after which a role may come back to an instance
	// that lost it.
	Lease time.Duration `json:"lease"`
	// UsageWindow is the width of the windows that usage is reported for, and
	// UsageLate the time after a window's end in which its report is due.
	UsageWindow time.Duration `json:"usageWindow"`
	UsageLate   time.Duration `json:"usageLate"`
}

// Retries returns RetryExtra in whole further sends.
func (b Bounds) Retries() int { return int(b.RetryExtra) }

// Defaults of bounds that a deployment does not name.
const (
	defaultDrain          = 2 * time.Second
	defaultStop           = 8 * time.Second
	defaultRetryShare     = 0.1
	defaultRetryWindow    = 10 * time.Second
	defaultLimitWindow    = 8 * time.Second
	defaultLease          = 3 * time.Second
	defaultUsageWindow    = 5 * time.Second
	defaultUsageLate      = 10 * time.Second
	defaultStoreRetention = 20 * time.Second
	defaultTrialShare     = 0.05
	defaultTrialStop      = 5 * time.Second
	defaultMemory         = 256
	defaultCores          = 1
	defaultDescriptors    = 1024
	// minDescriptors leaves room for the store, the listeners and a few callers.
	minDescriptors = 64
)

func defaultEntry() Entry {
	return Entry{
		StoreRetention: defaultStoreRetention,
		Limits: MachineLimits{
			MemoryMegabytes: defaultMemory, ProcessorCores: defaultCores, FileDescriptors: defaultDescriptors,
		},
		Bounds: Bounds{
			Drain: defaultDrain, Stop: defaultStop,
			RetryShare: defaultRetryShare, RetryWindow: defaultRetryWindow,
			LimitWindow: defaultLimitWindow, Lease: defaultLease,
			UsageWindow: defaultUsageWindow, UsageLate: defaultUsageLate,
			TrialShare: defaultTrialShare, TrialStop: defaultTrialStop,
		},
	}
}

// HasDuty tells whether this deployment has a duty.
func (s Entry) HasDuty(d Duty) bool {
	for _, duty := range s.Duties {
		if duty == d {
			return true
		}
	}

	return false
}

func (s Entry) check(c *checker) {
	c.required("instance", string(s.Instance))
	c.required("failureDomain", string(s.FailureDomain))
	c.listenAddress("listen.callers", s.Listen.Callers)
	c.listenAddress("listen.readiness", s.Listen.Readiness)
	c.distinct("listen.readiness", s.Listen.Readiness, "listen.callers", s.Listen.Callers)
	c.dialAddress("listen.peers", s.Listen.Peers)
	c.dialAddress("store", s.Store)

	if len(s.Duties) > 0 {
		c.dialAddress("cloud", s.Cloud)
	}

	c.positive("storeKeeps", s.StoreRetention)

	if s.Limits.MemoryMegabytes <= 0 {
		c.report("limits.memoryMegabytes", "must be above 0")
	}

	if s.Limits.ProcessorCores <= 0 {
		c.report("limits.processorCores", "must be above 0")
	}

	if s.Limits.FileDescriptors < minDescriptors {
		c.report("limits.fileDescriptors", "must be at least %d", minDescriptors)
	}

	s.Bounds.check(c)
}

func (b Bounds) check(c *checker) {
	for _, bound := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.drain", b.Drain},
		{"bounds.stop", b.Stop},
		{"bounds.retryWindow", b.RetryWindow},
		{"bounds.limitWindow", b.LimitWindow},
		{"bounds.lease", b.Lease},
		{"bounds.usageWindow", b.UsageWindow},
		{"bounds.usageLate", b.UsageLate},
		{"bounds.trialStop", b.TrialStop},
	} {
		c.positive(bound.field, bound.value)
	}

	if b.Revocation < 0 {
		c.report("bounds.revocation", "must not be below 0")
	}

	for _, bound := range []struct {
		field string
		value float64
	}{
		{"bounds.retryShare", b.RetryShare},
		{"bounds.retryExtra", b.RetryExtra},
		{"bounds.limitOvershoot", b.LimitOvershoot},
		{"bounds.limitSlack", b.LimitSlack},
		{"bounds.trialShare", b.TrialShare},
		{"bounds.trialSlack", b.TrialSlack},
	} {
		if bound.value < 0 {
			c.report(bound.field, "must not be below 0")
		}
	}
}
