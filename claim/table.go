package claim

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/logstream"
)

// Table is the state machine for the non-idempotent requests of one entry instance. Every
// method is one step: it takes an event and the time, and returns the commands to execute.
// It is not safe for concurrent use.
type Table struct {
	config Config
	self   claimant

	// keys, expiry, claimants, logTime and completeSince are derived from the records read.
	// InstanceRemoved also marks claimants as removed.
	keys      map[KeyID]*keyState
	expiry    expiryQueue
	claimants claimants
	logTime   time.Time
	// completeSince is the time since which the records read are complete.
	completeSince time.Time

	attempts map[AttemptID]*attempt
	// order contains the attempts in the order of their submission.
	order []*attempt
	// pending, owners and joined index the attempts by key: the attempt whose claim was
	// appended but not read back, the attempt that won the key, and the attempts that wait
	// for another one.
	pending map[KeyID]*attempt
	owners  map[KeyID]*attempt
	joined  map[KeyID][]*attempt

	started     bool
	caughtUp    bool
	down        bool
	undecodable int
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	config = config.withDefaults()

	return &Table{
		config:    config,
		self:      claimant{id: config.Self, incarnation: config.Incarnation},
		keys:      make(map[KeyID]*keyState),
		claimants: newClaimants(),
		attempts:  make(map[AttemptID]*attempt),
		pending:   make(map[KeyID]*attempt),
		owners:    make(map[KeyID]*attempt),
		joined:    make(map[KeyID][]*attempt),
	}
}

// KeyCount returns the number of retained keys.
func (t *Table) KeyCount() int { return len(t.keys) }

// OpenAttempts returns the number of attempts in memory: those without a verdict, and those
// whose outcome or void was not read back yet.
func (t *Table) OpenAttempts() int { return len(t.attempts) }

// Undecodable returns the number of records that were skipped because they could not be
// decoded.
func (t *Table) Undecodable() int { return t.undecodable }

// CaughtUp reports that all records that were on the log at the start were read.
func (t *Table) CaughtUp() { t.caughtUp = true }

// LogUp reports that the log is available again. Tick appends the pending records.
func (t *Table) LogUp() { t.down = false }

// LogDown reports that the log is unavailable. Attempts that depend on it are resolved
// immediately.
func (t *Table) LogDown() []Command {
	if t.down {
		return nil
	}

	t.down = true

	var commands []Command

	for _, a := range t.snapshot() {
		switch {
		case a.resolved:
		case a.phase == attemptClaiming:
			commands = append(commands, t.abort(a, ReasonLogDown, t.config.OutageRetryAfter)...)
		case a.phase == attemptVoiding:
			commands = append(commands, t.resolve(a, verdictWithoutResult(NotStarted, ReasonLogDown, t.config.OutageRetryAfter)))
		case a.phase == attemptJoined && t.owners[a.key] == nil:
			commands = append(commands, t.resolve(a, verdictWithoutResult(Unknown, ReasonLogDown, t.config.OutageRetryAfter)))
		}
	}

	return commands
}

// InstanceRemoved reports that an incarnation of an entry instance is no longer live. Its
// claims stay valid, because it may only be paused.
func (t *Table) InstanceRemoved(id fleet.InstanceID, incarnation fleet.Incarnation) []Command {
	removed := claimant{id: id, incarnation: incarnation}
	if removed == t.self {
		return nil
	}

	number := t.claimants.markRemoved(removed)

	var commands []Command

	for _, a := range t.snapshot() {
		state := t.keys[a.key]
		if a.phase != attemptJoined || a.resolved || t.owners[a.key] != nil || state == nil {
			continue
		}

		if state.phase == keyClaimed && state.claimant == number {
			commands = append(commands, t.resolve(a, verdictWithoutResult(Unknown, ReasonClaimantGone, t.config.OutageRetryAfter)))
		}
	}

	return commands
}

// Horizon reports that records before since were not read; a zero time means that no
// records are missing. Every further call reports that records were deleted from the log
// before they were read.
func (t *Table) Horizon(since time.Time) []Command {
	t.completeSince = since

	if !t.started {
		t.started = true

		return nil
	}

	t.keys = make(map[KeyID]*keyState)
	t.expiry = expiryQueue{}

	var commands []Command

	for _, a := range t.snapshot() {
		if a.phase == attemptJoined && !a.resolved && t.owners[a.key] == nil && t.pending[a.key] == nil {
			commands = append(commands, t.resolve(a, verdictWithoutResult(Unknown, ReasonUncertain, t.config.RetryAfter)))
		}
	}

	return commands
}

// snapshot returns a copy of the attempts in the order of their submission. The order makes
// steps deterministic; the copy lets them remove attempts during iteration.
func (t *Table) snapshot() []*attempt {
	open := t.order[:0]

	for _, a := range t.order {
		if t.attempts[a.id] == a {
			open = append(open, a)
		}
	}

	clear(t.order[len(open):])
	t.order = open

	return append([]*attempt(nil), open...)
}

// resolve sets the verdict on an attempt. The attempt is removed unless its outcome or void
// must still be read back.
func (t *Table) resolve(a *attempt, v Verdict) Command {
	a.resolved = true

	if a.phase == attemptClaiming || a.phase == attemptJoined {
		t.remove(a)
	}

	return Resolve{attempt: a.id, verdict: v}
}

// remove removes an attempt from all indexes.
func (t *Table) remove(a *attempt) {
	delete(t.attempts, a.id)

	if t.pending[a.key] == a {
		delete(t.pending, a.key)
	}

	if t.owners[a.key] == a {
		delete(t.owners, a.key)
	}

	if a.phase == attemptJoined {
		t.unjoin(a)
	}
}

// unjoin removes an attempt from those that wait for its key.
func (t *Table) unjoin(a *attempt) {
	waiting := t.joined[a.key]

	for i, other := range waiting {
		if other == a {
			waiting = append(waiting[:i:i], waiting[i+1:]...)

			break
		}
	}

	if len(waiting) == 0 {
		delete(t.joined, a.key)

		return
	}

	t.joined[a.key] = waiting
}

func (t *Table) join(a *attempt) {
	a.phase = attemptJoined
	t.joined[a.key] = append(t.joined[a.key], a)
}

// abort ends an attempt that sent nothing, and the attempts that joined its claim. If its
// claim is read back later, this instance voids it.
func (t *Table) abort(a *attempt, reason Reason, retryAfter time.Duration) []Command {
	wasPending := t.pending[a.key] == a
	commands := []Command{t.resolve(a, verdictWithoutResult(NotStarted, reason, retryAfter))}

	if wasPending && t.owners[a.key] == nil {
		commands = append(commands, t.resolveJoined(a.key, verdictWithoutResult(NotStarted, reason, retryAfter))...)
	}

	return commands
}

// resolveJoined sets the same verdict on all attempts that wait for a key.
func (t *Table) resolveJoined(key KeyID, v Verdict) []Command {
	var commands []Command

	for _, a := range append([]*attempt(nil), t.joined[key]...) {
		commands = append(commands, t.resolve(a, v))
	}

	return commands
}

// newAppend returns the command to append a record of an attempt.
func newAppend(kind logstream.Kind, id AttemptID, record any) Command {
	return Append{kind: kind, attempt: id, payload: encode(record)}
}
