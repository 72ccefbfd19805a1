package settings

import (
	"time"

	"monsoonlever/fleet"
)

// Entry holds the settings of an entry instance on the users' platform, which reads rules,
// backend servers and other instances from the platform's store.
type Entry struct {
	// Instance is unique among the instances of a deployment.
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Region        fleet.Region        `json:"region"`
	Listen        EntryListen         `json:"listen"`
	// Source is the local IP address of connections to backend servers. If it is empty, the
	// system chooses one.
	Source string `json:"source"`
	// Store is the IP:port of the platform's store, and Cloud that of its cloud API, which
	// is required if there are duties.
	Store string `json:"store"`
	Cloud string `json:"cloud"`
	// StoreRetention is how long the store retains records.
	StoreRetention time.Duration `json:"storeKeeps"`
	// Duties are the kinds of calls to the cloud API that this deployment makes.
	Duties []Duty        `json:"duties"`
	Limits MachineLimits `json:"limits"`
	Bounds Bounds        `json:"bounds"`
}

// Duty is a kind of call to the cloud API that one instance makes on behalf of all instances.
type Duty string

// Duties.
const (
	// ReportUsage reports the usage of client accounts.
	ReportUsage Duty = "usage"
	// OrderServers sets the number of backend servers.
	OrderServers Duty = "scaling"
)

// EntryListen holds the addresses at which an entry instance accepts connections.
type EntryListen struct {
	// Callers is the address for client accounts.
	Callers string `json:"callers"`
	// Readiness is the address for the load balancer's readiness checks.
	Readiness string `json:"readiness"`
	// Peers is the address for other entry instances. The instance listens on it, and the
	// other instances dial it.
	Peers string `json:"peers"`
	// Operators is the address for metrics. It may be empty, which disables them.
	Operators string `json:"operators"`
}

// MachineLimits holds the resources that an instance may use.
type MachineLimits struct {
	MemoryMegabytes float64 `json:"memoryMegabytes"`
	// ProcessorCores may be a fraction. Instances with more cores are preferred as relays and
	// leaders.
	ProcessorCores  float64 `json:"processorCores"`
	FileDescriptors float64 `json:"fileDescriptors"`
}

// MemoryBytes returns the memory that an instance may use.
func (m MachineLimits) MemoryBytes() int64 { return int64(m.MemoryMegabytes * (1 << 20)) }

// Bounds holds the limits that operators set for all instances together.
type Bounds struct {
	// Revocation is how long a key may remain usable after a change of the rules has
	// removed it. Zero means no limit.
	Revocation time.Duration `json:"revocation"`
	// Drain is how long a backend server keeps serving after it has been announced as leaving.
	Drain time.Duration `json:"drain"`
	// Stop is the time from SIGTERM until the process is killed.
	Stop time.Duration `json:"stop"`
	// RetryShare, RetryWindow and RetryExtra limit the retries of all instances: within any
	// RetryWindow to the share RetryShare of the requests of a service, plus RetryExtra.
	RetryShare  float64       `json:"retryShare"`
	RetryWindow time.Duration `json:"retryWindow"`
	RetryExtra  float64       `json:"retryExtra"`
	// LimitWindow, LimitOvershoot and LimitSlack are the tolerance for the limits of client
	// accounts: usage may exceed the amount allowed in a LimitWindow by the share
	// LimitOvershoot plus LimitSlack, which has the unit of the limit.
	LimitWindow    time.Duration `json:"limitWindow"`
	LimitOvershoot float64       `json:"limitOvershoot"`
	LimitSlack     float64       `json:"limitSlack"`
	// TrialShare and TrialSlack limit the requests that a bad version may receive: a share
	// of the service's requests from the order of the version to its deadline, plus a fixed
	// number. TrialStop is the time within which all instances must stop sending requests to
	// a version that has shown itself bad.
	TrialShare float64       `json:"trialShare"`
	TrialSlack float64       `json:"trialSlack"`
	TrialStop  time.Duration `json:"trialStop"`
	// Lease is the shortest time after which a role may return to an instance that lost it.
	Lease time.Duration `json:"lease"`
	// UsageWindow is the width of the windows for which usage is reported, and UsageLate the
	// time after the end of a window within which its report is due.
	UsageWindow time.Duration `json:"usageWindow"`
	UsageLate   time.Duration `json:"usageLate"`
}

// Retries returns RetryExtra rounded down to whole retries.
func (b Bounds) Retries() int { return int(b.RetryExtra) }

// Defaults of settings that the file omits.
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
	// minDescriptors suffices for the store, the listeners and a few callers.
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

// HasDuty reports whether this deployment has the duty.
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

	if s.Source != "" && !isIP(s.Source) {
		c.report("source", "must be an IP number, not %q", s.Source)
	}

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
