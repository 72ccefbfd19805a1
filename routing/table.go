package routing

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Table chooses backend servers. Its exported fields must be set before its first use.
// Pick and the methods of Choice take no lock. The methods that update the table are
// safe for concurrent use and exclude each other.
type Table struct {
	// Domain is the failure domain of this entry instance.
	Domain fleet.FailureDomain
	// Self is the id of this entry instance. Entry instances with different ids index
	// different servers for a prefix that many servers have cached.
	Self fleet.InstanceID
	// Policy holds the settings; zero fields select defaults.
	Policy Policy
	// Metrics is the set in which the counters are registered. If nil, a private set is
	// used.
	Metrics *metrics.Set

	current  atomic.Pointer[snapshot]
	prefixes *prefixIndex
	counters *counters

	mu           sync.Mutex
	policy       Policy
	otherEntries int
	// snapshotStale is set if the snapshot lacks a change that can wait for the next
	// Tick.
	snapshotStale bool
	servers       map[fleet.InstanceID]*server
	poolStates    map[Key]*poolState
	prices        map[offerKey]float64
}

type offerKey struct {
	class  provider.Class
	domain fleet.FailureDomain
}

// initialize sets up the unexported fields on first use. Pick doesn't need it, since it
// reads no such field before the first snapshot exists.
func (t *Table) initialize() {
	if t.servers != nil {
		return
	}

	if t.Metrics == nil {
		t.Metrics = metrics.NewSet()
	}

	t.policy = t.Policy.withDefaults()
	t.counters = newCounters(t.Metrics)
	t.prefixes = newPrefixIndex(t.policy.MaxPrefixes, t.policy.PrefixTTL)
	t.servers = make(map[fleet.InstanceID]*server)
	t.poolStates = make(map[Key]*poolState)
	t.prices = make(map[offerKey]float64)
}
