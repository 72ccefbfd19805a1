package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"monsoonlever/provider"
)

// Core is the state machine of one process for one role.
type Core struct {
	config Config
	self   Holder
	role   Role
	ledger *Ledger

	candidate bool
	releasing bool
	sequence  uint64
	// pendingSentAt holds, by sequence number, the send times of records that this process
	// has not read back from the log.
	pendingSentAt map[uint64]time.Time
	lastSentAt    time.Time

	validUntil time.Time
	// lastValidAt is when this process read the last valid record.
	lastValidAt time.Time
	// caughtUpAt is the time of the last read that reached the end of the log. readableSince
	// is the time of the first such read after the last gap above MaxReadGap.
	caughtUpAt    time.Time
	readableSince time.Time
	// noAcquireBefore is the end of the wait after the log lost records.
	noAcquireBefore time.Time
}

// NewCore returns the state machine of a process that is a candidate for a role.
func NewCore(config Config, role Role, self Holder) (*Core, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}

	return &Core{
		config:        config,
		self:          self,
		role:          role,
		ledger:        NewLedger(role),
		candidate:     true,
		pendingSentAt: make(map[uint64]time.Time),
	}, nil
}

// Restore replaces the state of the role by a checkpoint if the checkpoint is newer. The wait
// of a successor then starts at now.
func (c *Core) Restore(now time.Time, s Snapshot) {
	if !c.ledger.Restore(s) {
		return
	}

	c.lastValidAt = now
	c.validUntil = time.Time{}
}

// Observe applies one record that the process read from the log at now.
func (c *Core) Observe(now time.Time, offset provider.Offset, r Record) {
	if !c.ledger.Apply(offset, r) {
		if r.Holder == c.self && r.Role == c.role {
			delete(c.pendingSentAt, r.Sequence)
		}

		return
	}

	c.lastValidAt = now

	if r.Holder != c.self || r.Kind == Release {
		c.validUntil = time.Time{}
		c.releasing = false
		clear(c.pendingSentAt)

		return
	}

	c.extendValidity(r)
}

// LogRolledBack reports that the log was restored at now from an older copy that lacks the
// newest records. This process loses the role. It does not acquire the role until any grant
// in the missing records must have expired.
func (c *Core) LogRolledBack(now time.Time) {
	c.ledger = NewLedger(c.role)
	c.validUntil, c.lastValidAt, c.caughtUpAt, c.readableSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	c.releasing = false
	c.noAcquireBefore = now.Add(c.config.lengthenForDrift(c.config.Term + c.config.MaxOrderDelay))

	clear(c.pendingSentAt)
}

// CaughtUp reports that a read reached the end of the log at now.
func (c *Core) CaughtUp(now time.Time) {
	if c.caughtUpAt.IsZero() || now.Sub(c.caughtUpAt) > c.config.MaxReadGap {
		c.readableSince = now
	}

	c.caughtUpAt = now
}

// Step returns the records to append at now.
func (c *Core) Step(now time.Time) []Command {
	if !c.lastSentAt.IsZero() && now.Sub(c.lastSentAt) < c.config.RenewInterval {
		return nil
	}

	if c.ledger.heldBy(c.self) {
		if c.releasing || !c.candidate {
			c.releasing = true

			return c.issueCommand(now, Release)
		}

		return c.issueCommand(now, Renew)
	}

	if !c.acquireAllowed(now) {
		return nil
	}

	return c.issueCommand(now, Acquire)
}

// Check returns the fencing token with which this process may send an order at now, or an
// error that wraps ErrNotHeld. The caller calls it immediately before every order.
func (c *Core) Check(now time.Time) (Fence, error) {
	if c.releasing || !c.ledger.heldBy(c.self) {
		return 0, merry.Prependf(ErrNotHeld, "role %s", c.role)
	}

	if !now.Before(c.validUntil) {
		return 0, merry.Prependf(ErrNotHeld, "term of role %s has expired", c.role)
	}

	return c.ledger.state.Fence, nil
}

// Release gives up the role: Check fails from now on. The returned record lets a successor
// acquire the role before the term ends.
func (c *Core) Release(now time.Time) []Command {
	c.candidate = false

	if !c.ledger.heldBy(c.self) {
		return nil
	}

	c.releasing = true
	c.validUntil = time.Time{}

	return c.issueCommand(now, Release)
}

// SetCandidate sets whether this process tries to hold the role. A holder that is no candidate
// releases the role.
func (c *Core) SetCandidate(candidate bool) {
	c.candidate = candidate
}

// Snapshot returns the state of the role for a checkpoint or a status report.
func (c *Core) Snapshot() Snapshot {
	return c.ledger.Snapshot()
}

// Role returns the role of the core.
func (c *Core) Role() Role {
	return c.role
}

func (c *Core) extendValidity(r Record) {
	sentAt, ok := c.pendingSentAt[r.Sequence]
	for sequence := range c.pendingSentAt {
		if sequence <= r.Sequence {
			delete(c.pendingSentAt, sequence)
		}
	}

	if !ok || c.releasing {
		return
	}

	until := sentAt.Add(c.config.shortenForDrift(r.Term))
	if until.After(c.validUntil) {
		c.validUntil = until
	}
}

// CanAcquire reports whether this process would try to acquire the role at now.
func (c *Core) CanAcquire(now time.Time) bool {
	return !c.ledger.heldBy(c.self) && c.acquireAllowed(now)
}

func (c *Core) acquireAllowed(now time.Time) bool {
	if now.Before(c.noAcquireBefore) {
		return false
	}

	if !c.candidate || c.caughtUpAt.IsZero() || now.Sub(c.caughtUpAt) > c.config.MaxReadGap {
		return false
	}

	state := c.ledger.state
	if state.Last == 0 {
		return true
	}

	start := c.lastValidAt
	if c.readableSince.After(start) {
		start = c.readableSince
	}

	if c.config.SingleProcess && state.Holder.Instance == c.self.Instance {
		return !now.Before(start.Add(c.config.lengthenForDrift(c.config.MaxOrderDelay)))
	}

	wait := c.config.MaxOrderDelay
	if !state.Released {
		wait += state.Term
	}

	return !now.Before(start.Add(c.config.lengthenForDrift(wait) + c.stagger()))
}

// stagger returns the extra wait of this candidate. It depends on the candidate and on the last
// record, so that no process is always first.
func (c *Core) stagger() time.Duration {
	if c.config.Stagger == 0 {
		return 0
	}

	var seed [8]byte
	for i := range seed {
		seed[i] = byte(c.ledger.state.Last >> (8 * i))
	}

	sum := xxhash.Sum64String(c.self.String() + string(seed[:]))

	return time.Duration(sum % uint64(c.config.Stagger))
}

func (c *Core) issueCommand(now time.Time, kind Kind) []Command {
	c.sequence++
	c.lastSentAt = now
	c.pendingSentAt[c.sequence] = now

	return []Command{{Record: Record{
		Kind:     kind,
		Role:     c.role,
		Holder:   c.self,
		Sequence: c.sequence,
		Previous: c.ledger.state.Last,
		Term:     c.config.Term,
	}}}
}
