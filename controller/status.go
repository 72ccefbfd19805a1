package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// Status is what a controller says of itself and of its role.
type Status struct {
	// Mode is "observe" or "act".
	Mode   string           `json:"mode"`
	Role   lease.Role       `json:"role"`
	Holder fleet.InstanceID `json:"holder,omitempty"`
	Fence  lease.Fence      `json:"fence,omitempty"`
	// Until is when the lease ends unless it is renewed, as read here.
	Until time.Time `json:"until,omitzero"`
	// Holds tells whether this instance may act for the role now.
	Holds bool `json:"holds"`
	// Note says why this instance could not hold the lease.
	Note string `json:"note,omitempty"`
	// Decisions say why each service has what it has, one line each. Only the
	// holder decides.
	Decisions []string `json:"decisions,omitempty"`
}

// Status returns what operators are shown.
func (c *Controller) Status() Status {
	if c.init() != nil {
		return Status{}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	snapshot := c.core.Snapshot()
	fence, err := c.core.Check(c.Clock.Now())

	s := Status{Mode: "observe", Role: c.core.Role(), Fence: snapshot.Fence, Holds: err == nil, Note: c.note()}
	if c.Act {
		s.Mode = "act"
	}

	if snapshot.Last != 0 && !snapshot.Released {
		s.Holder = snapshot.Holder.Instance
		s.Until = c.seenAt.Add(snapshot.Term)
	}

	if s.Holds && fence == c.holding.fence {
		s.Decisions = c.decisions()
	}

	return s
}

func (c *Controller) note() string {
	switch {
	case c.Manifest() == nil:
		return "no manifest is in force here"
	case !c.isReady():
		return "the log was not read yet"
	case !c.history.complete:
		return "no checkpoint was found on the log"
	case !c.journal.Healthy():
		return "the log does not answer"
	default:
		return ""
	}
}

func (c *Controller) decisions() []string {
	var lines []string
	for _, line := range c.holding.decision.Explanations {
		lines = append(lines, line.String())
	}

	return append(lines, c.holding.rollout.lines...)
}
