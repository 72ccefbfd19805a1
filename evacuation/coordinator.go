package evacuation

import (
	"slices"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Turn tells a stream that it may be exported now, or, without a target, that
// it will not be.
type Turn struct {
	Attempt backend.AttemptID
	Target  fleet.InstanceID
}

// Coordinator is the step machine that gives the streams of leaving servers
// their turns. The exported fields are set before the first step.
type Coordinator struct {
	Planner Planner
	// GatherWindow is how long streams are gathered before the first turn, so that
	// the dearest of them is known.
	GatherWindow time.Duration

	leaving map[fleet.InstanceID]*leavingServer
	order   []fleet.InstanceID
	targets []Target
}

// leavingServer is one leaving server.
type leavingServer struct {
	notice  Notice
	streams []Stream
	active  backend.AttemptID
	target  fleet.InstanceID
	size    int
	firstTurnAt    time.Time
}

// Notice takes a reclaim notice. A server that is leaving is no target more.
func (c *Coordinator) Notice(now time.Time, n Notice) {
	if c.Planner.Wave != nil {
		c.Planner.Wave.Note(now, n.Domain)
	}

	if d := c.ensureLeaving(n.Server, now); d.notice.At.IsZero() || n.At.Before(d.notice.At) {
		d.notice = n
	}
}

// Targets takes the servers that could take caches at present.
func (c *Coordinator) Targets(targets []Target) { c.targets = targets }

// Enqueue puts a stream on the list of its server.
func (c *Coordinator) Enqueue(now time.Time, s Stream, by time.Time) {
	d := c.ensureLeaving(s.Server, now)
	if d.notice.At.IsZero() {
		d.notice = Notice{Server: s.Server, At: by}
	}

	d.streams = append(d.streams, s)
}

// Done says that a stream's export has ended, one way or the other.
func (c *Coordinator) Done(id backend.AttemptID) {
	for _, server := range c.order {
		d := c.leaving[server]
		if d.active == id {
			d.active, d.target, d.size = "", "", 0
		}

		d.streams = slices.DeleteFunc(d.streams, func(s Stream) bool { return s.Attempt == id })
	}
}

// RemoveServer forgets a server.
func (c *Coordinator) RemoveServer(server fleet.InstanceID) {
	delete(c.leaving, server)
	c.order = slices.DeleteFunc(c.order, func(id fleet.InstanceID) bool { return id == server })
}

// Turns returns whose turn it is. Each server exports one stream at a time.
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

// Wake returns the time at which Turns is to be asked again, if any.
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

// startNext plans afresh and takes the first of the plan. Without any, the streams
// that are left will not be exported.
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

// availableTargets returns the targets that are not leaving, less what is on its way.
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
