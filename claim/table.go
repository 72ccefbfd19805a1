package claim

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/logstream"
)

// Table decides what becomes of the requests of one entry instance that may
// not be repeated. Every method is one step: it takes an event and the time
// and returns what to do. Calls must not overlap.
type Table struct {
	config Config
	self   claimant

	// keys, claimants, logTime and since follow from the records alone.
	keys      map[KeyID]*keyState
	expiry    expiryQueue
	claimants claimants
	logTime   time.Time
	// completeSince is the time from which on the records read are complete.
	completeSince time.Time

	attempts map[AttemptID]*attempt
	// order holds the attempts in the order of their admission.
	order []*attempt
	// pending, owners and joined find attempts by key: the one whose claim is
	// on its way, the one that won, and those that wait for another.
	pending map[KeyID]*attempt
	owners  map[KeyID]*attempt
	joined  map[KeyID][]*attempt

	started     bool
	caughtUp    bool
	down        bool
	undecodable int
}

// NewTable returns a table that has read nothing.
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

// KeyCount returns the number of keys that are remembered.
func (t *Table) KeyCount() int { return len(t.keys) }

// OpenAttempts returns the number of attempts that are not over.
func (t *Table) OpenAttempts() int { return len(t.attempts) }

// Undecodable returns the number of records that were skipped.
func (t *Table) Undecodable() int { return t.undecodable }

// CaughtUp says that all records that were on the log at the start were read.
func (t *Table) CaughtUp() { t.caughtUp = true }

// LogUp says that the log answers again. What is owed is appended by Tick.
func (t *Table) LogUp() { t.down = false }

// LogDown says that the log doesn't answer. Attempts that can't go on without
// it get their final verdicts at once.
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

// InstanceRemoved says that an incarnation of an entry instance is no longer
// live. Its claims stand, since it may only be paused.
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

// Horizon says that records before since were not read, which is zero if none
// are missing. Called again, it says that records aged out unread.
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

// snapshot returns the attempts in the order of their admission, so that steps
// are deterministic and may end attempts on the way.
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

// resolve gives an attempt its verdict. An attempt that owes nothing to the log
// is then over.
func (t *Table) resolve(a *attempt, v Verdict) Command {
	a.resolved = true

	if a.phase == attemptClaiming || a.phase == attemptJoined {
		t.remove(a)
	}

	return Resolve{attempt: a.id, verdict: v}
}

// remove removes an attempt that is over.
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

// unjoin takes an attempt out of those that wait for its key.
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

// abort ends an attempt that has sent nothing. Should its claim turn out to
// be on the log, reading it makes this instance void it. Attempts that wait
// for the claim end with it.
func (t *Table) abort(a *attempt, reason Reason, retryAfter time.Duration) []Command {
	wasPending := t.pending[a.key] == a
	commands := []Command{t.resolve(a, verdictWithoutResult(NotStarted, reason, retryAfter))}

	if wasPending && t.owners[a.key] == nil {
		commands = append(commands, t.resolveJoined(a.key, verdictWithoutResult(NotStarted, reason, retryAfter))...)
	}

	return commands
}

// resolveJoined gives all attempts that wait for a key the same verdict.
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
