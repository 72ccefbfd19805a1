// Package register holds the set of known backend servers.
//
// Register is written by the reader of the platform's records, and read without a lock on the
// request path. Its content is as recent as the last read.
//
// A server may restart under its ID. Each run of it is another Process, and what is known of
// one process does not apply to the next.
//
// # Usage
//
//	var r register.Register
//	r.Apply(changes)
//	for _, server := range r.Servers() {
//		fmt.Println(server.ID, server.Address)
//	}
package register

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// Process identifies one process of a backend server, from its start to its end.
type Process struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
}

// String returns a text that differs between the processes of a server.
func (s Process) String() string {
	if s.Incarnation == 0 {
		return string(s.ID)
	}

	return string(s.ID) + " " + strconv.FormatUint(uint64(s.Incarnation), 10)
}

// Server describes one process of a backend server.
type Server struct {
	ID fleet.InstanceID
	// Incarnation is when the process started, in Unix milliseconds. Zero is unknown; all
	// processes under the ID then count as one.
	Incarnation fleet.Incarnation
	Service     fleet.Service
	// Version is the version of the software that the server runs.
	Version fleet.Version
	Address string
	Domain  fleet.FailureDomain
	Slots   int
	// Leaving servers finish their running requests and take no new ones.
	Leaving bool
	// Leaves is when a reclaimed server terminates; the zero value is unknown.
	Leaves time.Time
	// Reclaimable servers cost less and may be reclaimed at short notice.
	Reclaimable bool
}

// Process returns the identity of the server's process.
func (s Server) Process() Process { return Process{ID: s.ID, Incarnation: s.Incarnation} }

// Change is a new entry of a server, or the removal of its entry.
type Change struct {
	ID fleet.InstanceID
	// Version is the position of the change in the order of all changes. A change that is older
	// than the newest known change of its server is ignored.
	Version uint64
	// Server is nil if the entry was removed or describes no usable server.
	Server *Server
}

// Delta is the effect of changes on one server. Before is nil for an added server, After for a
// removed one.
type Delta struct {
	Before, After *Server
}

// Register is the set of known servers. The zero value is empty and not loaded.
type Register struct {
	mu      sync.Mutex
	servers map[fleet.InstanceID]Server
	// beforeChange holds the previous state of the servers that are being changed; nil for a
	// server that was not known.
	beforeChange map[fleet.InstanceID]*Server
	// digestSum is the sum of the digests of servers.
	digestSum uint64
	// versions are those of the newest changes, also of removed servers.
	versions map[fleet.InstanceID]uint64
	leaving  leavingProcesses
	current  atomic.Pointer[[]Server]
	digest   atomic.Uint64
}

// Replace replaces the known servers by a full snapshot and returns the deltas.
func (r *Register) Replace(entries []Change) []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()

	for id := range r.servers {
		r.remove(id)
	}

	r.versions = make(map[fleet.InstanceID]uint64, len(entries))
	r.apply(entries)

	return r.publish()
}

// Restore applies a full snapshot of an older copy of the platform's records, which lacks the
// newest records. Servers that the copy lacks stay until their next entry or the next Replace,
// and the copy does not bring back servers that are known to be removed. Restore returns the
// deltas.
func (r *Register) Restore(entries []Change) []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.init()
	for _, c := range entries {
		_, there := r.servers[c.ID]
		if _, known := r.versions[c.ID]; c.Server == nil || known && !there {
			continue
		}

		r.apply([]Change{c})
	}

	return r.publish()
}

// Apply applies changes in their order and returns the deltas.
func (r *Register) Apply(changes []Change) []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.apply(changes)

	return r.publish()
}

func (r *Register) init() {
	if r.servers == nil {
		r.servers = make(map[fleet.InstanceID]Server)
		r.beforeChange = make(map[fleet.InstanceID]*Server)
		r.versions = make(map[fleet.InstanceID]uint64)
	}
}

func (r *Register) apply(changes []Change) {
	for _, c := range changes {
		if c.Version < r.versions[c.ID] {
			continue
		}

		if c.Server != nil && c.Server.Incarnation < r.servers[c.ID].Incarnation {
			// A delayed entry of an earlier process.
			continue
		}

		r.versions[c.ID] = c.Version

		if c.Server == nil {
			r.remove(c.ID)

			continue
		}

		s := *c.Server
		if s.Leaving {
			r.leaving.add(s.Process())
		}

		s.Leaving = r.leaving.has(s.Process())
		r.put(s)
	}
}

// put adds a server or replaces its entry.
func (r *Register) put(s Server) {
	r.remove(s.ID)
	r.servers[s.ID] = s
	r.digestSum += digest(s)
}

// remove removes a server if it is known.
func (r *Register) remove(id fleet.InstanceID) {
	before, there := r.servers[id]
	if _, touched := r.beforeChange[id]; !touched {
		r.beforeChange[id] = nil
		if there {
			r.beforeChange[id] = &before
		}
	}

	if there {
		delete(r.servers, id)
		r.digestSum -= digest(before)
	}
}

// MarkLeaving marks processes of servers as leaving and returns the deltas. The mark is final:
// a server announces in its responses that it leaves while its entry can't be written, and an
// older entry of the same process must not clear the mark.
func (r *Register) MarkLeaving(processes []Process) []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()

	for _, process := range processes {
		r.leaving.add(process)

		if s, ok := r.servers[process.ID]; ok && !s.Leaving && s.Process() == process {
			s.Leaving = true
			r.put(s)
		}
	}

	if len(r.beforeChange) == 0 {
		return nil
	}

	return r.publish()
}

// rebuildShare is the share of changed servers above which publish sorts all servers instead of
// merging the deltas.
const rebuildShare = 0.05

// publish makes changes visible to readers and returns the deltas.
func (r *Register) publish() []Delta {
	var deltas []Delta

	for id, before := range r.beforeChange {
		after, there := r.servers[id]

		switch {
		case !there && before != nil:
			deltas = append(deltas, Delta{Before: before})
		case there && (before == nil || *before != after):
			deltas = append(deltas, Delta{Before: before, After: &after})
		}
	}

	slices.SortFunc(deltas, func(a, b Delta) int { return strings.Compare(string(a.id()), string(b.id())) })
	clear(r.beforeChange)

	if current := r.current.Load(); current == nil || float64(len(deltas)) > rebuildShare*float64(len(r.servers)) {
		servers := slices.SortedFunc(maps.Values(r.servers), byID)
		r.current.Store(&servers)
	} else if len(deltas) > 0 {
		servers := merge(*current, deltas)
		r.current.Store(&servers)
	}

	r.digest.Store(r.digestSum)

	return deltas
}

func (d Delta) id() fleet.InstanceID {
	if d.After != nil {
		return d.After.ID
	}

	return d.Before.ID
}

func byID(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) }

// merge applies deltas to servers, both sorted by ID.
func merge(servers []Server, deltas []Delta) []Server {
	merged := make([]Server, 0, len(servers)+len(deltas))

	for _, d := range deltas {
		at, found := slices.BinarySearchFunc(servers, Server{ID: d.id()}, byID)
		merged = append(merged, servers[:at]...)

		if d.After != nil {
			merged = append(merged, *d.After)
		}

		if found {
			at++
		}

		servers = servers[at:]
	}

	return append(merged, servers...)
}

// digest returns the digest of a server's process and whether it leaves. Register adds up the
// digests of all servers, so that the cost of a change does not depend on their number.
func digest(s Server) uint64 {
	text := s.Process().String()
	if s.Leaving {
		text += " leaving"
	}

	return xxhash.Sum64String(text)
}

// Digest returns a value that is the same for registers with the same processes and the same
// leaving marks.
func (r *Register) Digest() uint64 { return r.digest.Load() }

// Version returns the version of the newest known change of a server.
func (r *Register) Version(id fleet.InstanceID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.versions[id]
}

// Servers returns the known servers sorted by ID. The slice must not be changed.
func (r *Register) Servers() []Server {
	if s := r.current.Load(); s != nil {
		return *s
	}

	return nil
}

// Loaded reports whether the register was read at least once.
func (r *Register) Loaded() bool {
	return r.current.Load() != nil
}
