package routing

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Table chooses backend servers. Its exported fields are set before its first
// use. Pick and the methods of Choice take no lock; the steps that bring news
// may be called from any goroutine and wait for each other.
type Table struct {
	// Domain is the failure domain of this entry instance.
	Domain fleet.FailureDomain
	// Self names this entry instance; entry instances with different names keep
	// different holders of a common prefix.
	Self fleet.InstanceID
	// Policy holds the settings; zero fields stand for defaults.
	Policy Policy
	// Metrics receives the counters, unless it is nil.
	Metrics *metrics.Set

	current  atomic.Pointer[snapshot]
	prefixes *prefixIndex
	counters *counters

	mu           sync.Mutex
	policy       Policy
	otherEntries int
	// snapshotStale tells that the snapshot lacks news which can wait for a tick.
	snapshotStale bool
	servers       map[fleet.InstanceID]*server
	poolStates    map[Key]*poolState
	prices        map[offerKey]float64
}

type offerKey struct {
	class  provider.Class
	domain fleet.FailureDomain
}

// initialize fills what the zero value lacks. Pick reads none of it before the
// first snapshot is there.
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
