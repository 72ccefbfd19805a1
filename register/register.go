// Package register holds the backend servers as they register themselves.
//
// Register is written by one reader of the platform's records and read without a
// lock by the path of requests. What it holds is as old as the last read.
//
// A server may start again under its id. Each start is another Start, and what is
// known or said of one start says nothing of the next.
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

// Process names one start of a backend server.
type Process struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
}

// String returns a text that differs between the starts of a server.
func (s Process) String() string {
	if s.Incarnation == 0 {
		return string(s.ID)
	}

	return string(s.ID) + " " + strconv.FormatUint(uint64(s.Incarnation), 10)
}

// Server is one start of a backend server.
type Server struct {
	ID fleet.InstanceID
	// Incarnation is when the server started, in Unix milliseconds; zero is not told,
	// and then the id has one start only.
	Incarnation fleet.Incarnation
	Service     fleet.Service
	// Version is that of the server's program.
	Version fleet.Version
	Address string
	Domain  fleet.FailureDomain
	Slots   int
	// Leaving servers finish what they run and take nothing new.
	Leaving bool
	// Leaves is when a reclaimed server is gone; zero is not known.
	Leaves time.Time
	// Reclaimable servers cost less and may be taken away on short notice.
	Reclaimable bool
}

// Process returns which start of the server this is.
func (s Server) Process() Process { return Process{ID: s.ID, Incarnation: s.Incarnation} }

// Change is a new entry of a server, or its removal.
type Change struct {
	ID fleet.InstanceID
	// Version is the place of the change in the order of all. One that is older than
	// what is known of the server changes nothing.
	Version uint64
	// Server is nil where the entry was removed, or names no server that can be used.
	Server *Server
}

// Delta is what became of one server: nil stands for one that is not there.
type Delta struct {
	Before, After *Server
}

// Register is the set of known servers. The zero value is empty and not loaded.
type Register struct {
	mu      sync.Mutex
	servers map[fleet.InstanceID]Server
	// beforeChange are the servers that are being changed, as they were before; nil was not there.
	beforeChange map[fleet.InstanceID]*Server
	// digestSum is the digest of servers.
	digestSum uint64
	// versions are those of the newest changes, also of servers that are gone.
	versions map[fleet.InstanceID]uint64
	leaving  leavingProcesses
	current  atomic.Pointer[[]Server]
	digest   atomic.Uint64
}

// Replace puts a whole set in place of what was known, and returns what changed.
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

// Restore takes in a whole set from an older copy of the platform's records, in which the
// newest are missing. Servers that the copy lacks stay until their own next entry or the
// next whole set, and those that are known to be gone do not come back by it. It returns what
// changed.
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

// Apply takes changes in, in their order, and returns what changed.
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
			// An entry of an earlier start that was long on its way.
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

// remove takes a server away if it is there.
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

// MarkLeaving marks starts of servers that are known to leave, and returns what changed. It is final: a server announces it in its answers while its entry can't be
// written, and an older entry of the same start does not take it back.
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

// rebuildShare is the part of all servers from which on a change sorts them anew.
const rebuildShare = 0.05

// publish makes changes visible and returns them.
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

// merge returns servers with a few changes, both in the order of ids.
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

// digest names a start of a server and whether it leaves. The digests of all servers are added
// up, so that one change costs the same however many there are.
func digest(s Server) uint64 {
	text := s.Process().String()
	if s.Leaving {
		text += " leaving"
	}

	return xxhash.Sum64String(text)
}

// Digest is the same where the same servers are known, and the same ones to leave.
func (r *Register) Digest() uint64 { return r.digest.Load() }

// Version returns the place of the newest change of a server that is known.
func (r *Register) Version(id fleet.InstanceID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.versions[id]
}

// Servers returns the known servers in the order of their ids. The slice must
// not be changed.
func (r *Register) Servers() []Server {
	if s := r.current.Load(); s != nil {
		return *s
	}

	return nil
}

// Loaded tells whether the register was read at least once.
func (r *Register) Loaded() bool {
	return r.current.Load() != nil
}
