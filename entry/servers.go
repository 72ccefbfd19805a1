package entry

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

func instanceID(key string) fleet.InstanceID { return fleet.InstanceID(key) }

// sameServer reports whether two entries describe the same server. The time at which a reclaimed
// server leaves is estimated again with each entry and is ignored.
func sameServer(a, b register.Server) bool {
	a.Leaves = b.Leaves

	return a == b
}

// logServerChanges logs servers that were added, changed or removed: each of them at an instance
// that reads the store, elsewhere only their number.
func (p *components) logServerChanges(deltas []register.Delta) {
	if !p.readsStore() {
		klog.InfoS("backend servers changed", "changes", len(deltas), "servers", len(p.register.Servers()))

		return
	}

	for _, d := range deltas {
		logServerChange(d)
	}
}

func logServerChange(d register.Delta) {
	switch before, after := d.Before, d.After; {
	case after == nil:
		klog.InfoS("backend server is gone", "server", before.ID, "service", before.Service, "announced", before.Leaving)
	case before == nil:
		klog.InfoS("backend server was added", "server", after.ID, "service", after.Service, "version", after.Version, "address", after.Address,
			"failureDomain", after.Domain, "reclaimable", after.Reclaimable)
	case before.Process() != after.Process():
		klog.InfoS("backend server restarted", "server", after.ID, "service", after.Service, "version", after.Version,
			"incarnation", after.Incarnation, "before", before.Incarnation)
	case after.Leaving && !before.Leaving:
		klog.InfoS("backend server leaves", "server", after.ID, "service", after.Service, "leaves", after.Leaves)
	}
}

// removedProcesses holds the processes of servers that were removed from the register while they
// had requests. The zero value is empty.
type removedProcesses map[fleet.InstanceID]register.Process

// add adds the process of a removed server, and discards those whose requests have ended.
func (r *removedProcesses) add(process register.Process, draining func(fleet.InstanceID) bool) {
	if *r == nil {
		*r = make(removedProcesses)
	}

	(*r)[process.ID] = process

	maps.DeleteFunc(*r, func(id fleet.InstanceID, _ register.Process) bool { return !draining(id) })
}

// restarted reports whether a server that is added or changed has another process than before, also
// if it was removed in between.
func (r *removedProcesses) restarted(d register.Delta) bool {
	if d.Before != nil {
		return d.Before.Process() != d.After.Process()
	}

	before, removed := (*r)[d.After.ID]
	delete(*r, d.After.ID)

	return removed && before != d.After.Process()
}

// sharedConnectionsShare is the fraction of a server's connections that the instances divide; the
// rest is for instances that are no longer counted but still run.
const sharedConnectionsShare = 0.8

// setConnectionLimits limits this instance to its share of each server's connections.
func (p *components) setConnectionLimits() {
	for _, s := range p.register.Servers() {
		p.setConnectionLimit(s)
	}
}

// setConnectionLimit limits this instance to its share of one server's connections.
func (p *components) setConnectionLimit(s register.Server) {
	rules := p.rules.Load()
	if rules == nil {
		return
	}

	if service := rules.Service(s.Service); service != nil && service.MaxConnections > 0 {
		p.pool.SetLimit(s.ID, p.connectionShare(s.ID, service.MaxConnections))
	}
}

// connectionShare returns how many of a server's connections this instance may use, one at least.
// Where all instances know each other, some get one more than others, so that all are used.
func (p *components) connectionShare(server fleet.InstanceID, maxConnections int) int {
	shared, n := int(float64(maxConnections)*sharedConnectionsShare), p.instanceCount()

	if view := p.directory.Load(); view == nil || !view.FullMesh() {
		return max(shared/n, 1)
	}

	members := p.sortedMembers()

	return splitEvenly(shared, len(members), slices.Index(members, p.self()), xxhash.Sum64String(string(server)))
}

// sortedMembers returns the known instances in an order that all of them have in common.
func (p *components) sortedMembers() []fleet.InstanceID {
	return slices.Sorted(slices.Values(p.members.IDs()))
}

// splitEvenly returns the part of a total that the member at an index gets, one at least. The members
// that get the remainder begin at an offset, so that they differ from total to total.
func splitEvenly(total, members, index int, offset uint64) int {
	if members == 0 || index < 0 {
		return 1
	}

	part := total / members
	if (uint64(index)+offset)%uint64(members) < uint64(total%members) {
		part++
	}

	return max(part, 1)
}
