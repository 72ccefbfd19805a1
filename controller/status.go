package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// Status is the state of a controller and of its role.
type Status struct {
	// Mode is "observe" or "act".
	Mode   string           `json:"mode"`
	Role   lease.Role       `json:"role"`
	Holder fleet.InstanceID `json:"holder,omitempty"`
	Fence  lease.Fence      `json:"fence,omitempty"`
	// ExpiresAt is when the lease expires unless it is renewed, by the clock of this instance.
	ExpiresAt time.Time `json:"until,omitzero"`
	// IsHolder reports whether this instance may act for the role now.
	IsHolder bool `json:"holds"`
	// Note is the reason why this instance cannot hold the lease.
	Note string `json:"note,omitempty"`
	// Decisions explain the planned instances of each service and the roll-outs, one per line. Only
	// the holder has decisions.
	Decisions []string `json:"decisions,omitempty"`
}

// Status returns the status for operators.
func (c *Controller) Status() Status {
	if c.init() != nil {
		return Status{}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	snapshot := c.core.Snapshot()
	fence, err := c.core.Check(c.Clock.Now())

	s := Status{Mode: "observe", Role: c.core.Role(), Fence: snapshot.Fence, IsHolder: err == nil, Note: c.note()}
	if c.Act {
		s.Mode = "act"
	}

	if snapshot.Last != 0 && !snapshot.Released {
		s.Holder = snapshot.Holder.Instance
		s.ExpiresAt = c.leaseSeenAt.Add(snapshot.Term)
	}

	if s.IsHolder && fence == c.grant.fence {
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
	case !c.stream.stateKnown:
		return "no checkpoint was found on the log"
	case !c.journal.Healthy():
		return "the log does not answer"
	default:
		return ""
	}
}

func (c *Controller) decisions() []string {
	var lines []string
	for _, line := range c.grant.decision.Explanations {
		lines = append(lines, line.String())
	}

	return append(lines, c.grant.rollout.lines...)
}
