package evacuation

import (
	"slices"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Turn permits the export of a stream's KV cache to Target. An empty Target
// refuses the export.
type Turn struct {
	Attempt backend.AttemptID
	Target  fleet.InstanceID
}

// Coordinator is the state machine that permits or refuses the exports of the
// streams on leaving servers. Its exported fields must be set before the first
// method call.
type Coordinator struct {
	Planner Planner
	// GatherWindow is the time from the first notice or stream of a server to
	// its first export. Streams that are enqueued within it are ordered
	// together, so that the most expensive one is exported first.
	GatherWindow time.Duration

	leaving map[fleet.InstanceID]*leavingServer
	order   []fleet.InstanceID
	targets []Target
}

// leavingServer is the state of a server that will be reclaimed. Its fields
// active, target and size describe the export in progress.
type leavingServer struct {
	notice      Notice
	streams     []Stream
	active      backend.AttemptID
	target      fleet.InstanceID
	size        int
	firstTurnAt time.Time
}

// Notice records a reclaim notice. The server is no longer used as a target. Of
// several notices for a server, the one with the earliest time counts.
func (c *Coordinator) Notice(now time.Time, n Notice) {
	if c.Planner.Wave != nil {
		c.Planner.Wave.Note(now, n.Domain)
	}

	if d := c.ensureLeaving(n.Server, now); d.notice.At.IsZero() || n.At.Before(d.notice.At) {
		d.notice = n
	}
}

// Targets replaces the servers that can currently receive KV caches.
func (c *Coordinator) Targets(targets []Target) { c.targets = targets }

// Enqueue adds a stream to the export queue of its server. If no notice has been
// received for the server, by is taken as the time of its reclaim.
func (c *Coordinator) Enqueue(now time.Time, s Stream, by time.Time) {
	d := c.ensureLeaving(s.Server, now)
	if d.notice.At.IsZero() {
		d.notice = Notice{Server: s.Server, At: by}
	}

	d.streams = append(d.streams, s)
}

// Done removes a stream whose export has succeeded, failed or been abandoned,
// so that its server can export the next one.
func (c *Coordinator) Done(id backend.AttemptID) {
	for _, server := range c.order {
		d := c.leaving[server]
		if d.active == id {
			d.active, d.target, d.size = "", "", 0
		}

		d.streams = slices.DeleteFunc(d.streams, func(s Stream) bool { return s.Attempt == id })
	}
}

// RemoveServer discards the state of a server.
func (c *Coordinator) RemoveServer(server fleet.InstanceID) {
	delete(c.leaving, server)
	c.order = slices.DeleteFunc(c.order, func(id fleet.InstanceID) bool { return id == server })
}

// Turns returns the exports that may start now and those that are refused.
// Each server exports one stream at a time.
func (c *Coordinator) Turns(now time.Time) []Turn {
	var turns []Turn

	for _, server := range c.order {
		d := c.leaving[server]
		if d.active != "" || len(d.streams) == 0 || now.Before(d.firstTurnAt) {
			continue
		}

		turns = append(turns, c.startNext(now, d)...)
	}

	return turns
}

// Wake returns the earliest time at which a gather window with queued streams
// ends, and reports whether there is one. Turns must be called again then.
func (c *Coordinator) Wake(now time.Time) (time.Time, bool) {
	var at time.Time

	for _, server := range c.order {
		d := c.leaving[server]
		if len(d.streams) == 0 || !d.firstTurnAt.After(now) {
			continue
		}

		if at.IsZero() || d.firstTurnAt.Before(at) {
			at = d.firstTurnAt
		}
	}

	return at, !at.IsZero()
}

// startNext computes a new plan and starts its first export. If the plan is
// empty, it refuses every queued stream.
func (c *Coordinator) startNext(now time.Time, d *leavingServer) []Turn {
	plan := c.Planner.Plan(now, d.notice, d.streams, c.availableTargets())
	if len(plan) == 0 {
		return d.refuseAll()
	}

	first := plan[0]
	i := slices.IndexFunc(d.streams, func(s Stream) bool { return s.Attempt == first.Attempt })
	d.active, d.target, d.size = first.Attempt, first.Target, d.streams[i].Tokens
	d.streams = slices.Delete(d.streams, i, i+1)

	return []Turn{{Attempt: first.Attempt, Target: first.Target}}
}

func (d *leavingServer) refuseAll() []Turn {
	turns := make([]Turn, 0, len(d.streams))
	for _, s := range d.streams {
		turns = append(turns, Turn{Attempt: s.Attempt})
	}

	d.streams = nil

	return turns
}

// availableTargets returns the targets that are not leaving. Their room is
// reduced by the exports in progress.
func (c *Coordinator) availableTargets() []Target {
	out := make([]Target, 0, len(c.targets))

	for _, t := range c.targets {
		if _, leaving := c.leaving[t.Server]; leaving {
			continue
		}

		for _, server := range c.order {
			if d := c.leaving[server]; d.target == t.Server {
				t.Room -= d.size
			}
		}

		out = append(out, t)
	}

	return out
}

func (c *Coordinator) ensureLeaving(server fleet.InstanceID, now time.Time) *leavingServer {
	if c.leaving == nil {
		c.leaving = make(map[fleet.InstanceID]*leavingServer)
	}

	d, ok := c.leaving[server]
	if !ok {
		d = &leavingServer{firstTurnAt: now.Add(c.GatherWindow)}
		c.leaving[server] = d
		c.order = append(c.order, server)
	}

	return d
}
