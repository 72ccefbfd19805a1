package placement

import (
	"slices"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/provider"
)

// Reconciler brings the instances to the wanted counts under one holder of the
// controller role. It learns the existing instances from a listing.
type Reconciler struct {
	// Owner is the prefix of the purchase tokens; instances with another prefix
	// are left alone.
	Owner string
	// ListInterval is the time between two listings.
	ListInterval time.Duration
	// PurchaseRetryInterval is the time between two purchases with one token.
	PurchaseRetryInterval time.Duration
	// AppendRetryInterval is the time after which an unread record is appended again.
	AppendRetryInterval time.Duration
	// DrainTimeout is how long an instance may drain before it is released.
	DrainTimeout time.Duration
	// ChangesPerHour limits voluntary retirements, and separately purchases made
	// only to save money, per hour over all services. The count is kept in the
	// log, so it continues under a new holder.
	ChangesPerHour int
	// Refusals records every refused purchase; it may be nil.
	Refusals *CellPenalties

	ledger   *Ledger
	fence    lease.Fence
	sequence uint64
	pending  map[uint64]Record
	calls    map[Token]*purchaseCall
	observed map[Token]*ObservedInstance
	listing  listing
	// appendedAt is when a record was last appended.
	appendedAt time.Time
}

// purchaseCall is the state of this process's purchase calls with one token.
type purchaseCall struct {
	outstanding bool
	// unknown is set after a call without a response, which may still take effect.
	unknown bool
	refused bool
	lastAt  time.Time
	// lastListing is the last listing that began before the purchase response.
	lastListing uint64
	bought      bool
}

type listing struct {
	number uint64
	done   uint64
	lastAt time.Time
}

// NewReconciler returns a reconciler over a ledger, which the caller keeps up
// to date by Grant and Read.
func NewReconciler(owner string) *Reconciler {
	return &Reconciler{
		Owner:                 owner,
		ListInterval:          5 * time.Second,
		PurchaseRetryInterval: 10 * time.Second,
		AppendRetryInterval:   5 * time.Second,
		DrainTimeout:          10 * time.Minute,
		ChangesPerHour:        DefaultChangesPerHour,
		ledger:                NewLedger(),
		pending:               make(map[uint64]Record),
		calls:                 make(map[Token]*purchaseCall),
		observed:              make(map[Token]*ObservedInstance),
	}
}

// Ledger returns the ledger, for checkpoints and status.
func (r *Reconciler) Ledger() *Ledger {
	return r.ledger
}

// Grant applies a grant of the controller role, in log order.
func (r *Reconciler) Grant(fence lease.Fence) {
	r.ledger.Grant(fence)
	clear(r.pending)
}

// Read applies one intent record, in log order.
func (r *Reconciler) Read(record Record) {
	valid := r.ledger.Apply(record)
	if record.Fence != r.fence {
		return
	}

	// A record that comes after a later one of the same grant does not count.
	for sequence := range r.pending {
		if sequence <= record.Sequence {
			delete(r.pending, sequence)
		}
	}

	if valid && record.Step == StepClose {
		delete(r.calls, record.Token)
		delete(r.observed, record.Token)
	}
}

// PurchaseFinished records the outcome of a purchase call.
func (r *Reconciler) PurchaseFinished(now time.Time, token Token, outcome Outcome, instance provider.Instance) {
	c, ok := r.calls[token]
	if !ok {
		return
	}

	c.outstanding = false

	switch outcome {
	case OutcomeBought:
		c.bought = true
		c.refused = false
		c.lastListing = r.listing.number
		r.updateInstance(token, instance)
		r.clearRefusal(token)
	case OutcomeRefused:
		c.refused = true
		r.recordRefusal(now, token)
	case OutcomeUnknown:
		c.unknown = true
	}
}

// ListFinished records the result of a listing.
func (r *Reconciler) ListFinished(number uint64, instances []provider.Instance) {
	if number <= r.listing.done {
		return
	}

	r.listing.done = number
	found := make(map[Token]bool)

	for _, instance := range instances {
		token, ok := ParseToken(r.Owner, instance.Token)
		if !ok {
			continue
		}

		found[token] = true
		r.updateInstance(token, instance)
	}

	for token := range r.observed {
		if c, ok := r.calls[token]; ok && c.bought && c.lastListing >= number {
			continue
		}

		if !found[token] {
			delete(r.observed, token)
			r.markRemoved(token)
		}
	}
}

// Observe records the health of an instance.
func (r *Reconciler) Observe(h Health) {
	for _, o := range r.observed {
		if o.Instance.ID != h.Instance {
			continue
		}

		o.HealthKnown = true
		o.Ready = h.Ready
		o.Idle = h.Idle
		o.Leaving = h.Leaving
	}
}

// InstanceCounts counts the usable and pending instances of a service by cell.
func (r *Reconciler) InstanceCounts(service fleet.Service) map[Cell]int {
	result := make(map[Cell]int)

	for _, intent := range r.ledger.Intents() {
		if intent.Service == service && r.isUsable(intent) {
			result[intent.Cell]++
		}
	}

	return result
}

// Instances returns the instances that belong to intents, oldest first.
func (r *Reconciler) Instances(service fleet.Service) []ObservedInstance {
	var result []ObservedInstance

	for _, intent := range r.ledger.Intents() {
		if o, ok := r.observed[intent.Token]; ok && intent.Service == service {
			result = append(result, *o)
		}
	}

	return result
}

// Synced tells whether the log was read up to the grant and the instances were
// listed under it. A plan made earlier would treat existing instances as missing.
func (r *Reconciler) Synced(fence lease.Fence) bool {
	return fence == r.ledger.Fence() && fence == r.fence && r.listing.done > 0
}

// Step returns the commands to perform at now under the fencing token from lease.Core.Check.
// Nothing is bought or retired before the first listing under that token. A
// service without a limit is not changed.
func (r *Reconciler) Step(now time.Time, fence lease.Fence, targets []Target, limits []Limit) []Command {
	if fence != r.ledger.Fence() {
		return nil
	}

	if fence != r.fence {
		r.startGrant(fence)
	}

	commands := r.list(now)
	if r.listing.done == 0 {
		return commands
	}

	commands = append(commands, r.purchase(now)...)
	commands = append(commands, r.releaseOrphans(now)...)

	// The ledger lacks records in flight, so no new decisions are made from it.
	if len(r.pending) > 0 {
		return append(commands, r.resend(now)...)
	}

	commands = append(commands, r.finishIntents(now)...)

	return append(commands, r.adjustCounts(now, targets, limits)...)
}

// startGrant discards the call state of an earlier grant of this process: under
// the new grant every earlier call may still take effect.
func (r *Reconciler) startGrant(fence lease.Fence) {
	r.fence = fence
	r.sequence = 0
	r.listing.done = 0
	r.listing.lastAt = time.Time{}
	clear(r.pending)
	clear(r.calls)
	clear(r.observed)
}

func (r *Reconciler) list(now time.Time) []Command {
	if !r.listing.lastAt.IsZero() && now.Sub(r.listing.lastAt) < r.ListInterval {
		return nil
	}

	r.listing.lastAt = now
	r.listing.number++

	return []Command{ListCommand{Number: r.listing.number}}
}

// updateInstance stores a listed or bought instance and keeps its known health.
func (r *Reconciler) updateInstance(token Token, instance provider.Instance) {
	if o, ok := r.observed[token]; ok {
		o.Instance = instance

		return
	}

	r.observed[token] = &ObservedInstance{Instance: instance}
}

// markRemoved records that an instance existed and was removed.
func (r *Reconciler) markRemoved(token Token) {
	c := r.call(token)
	c.bought = true
}

func (r *Reconciler) call(token Token) *purchaseCall {
	c, ok := r.calls[token]
	if !ok {
		c = &purchaseCall{}
		r.calls[token] = c
	}

	return c
}

func (r *Reconciler) recordRefusal(now time.Time, token Token) {
	intent, ok := r.ledger.intents[token]
	if ok && r.Refusals != nil {
		r.Refusals.Add(now, intent.Cell)
	}
}

func (r *Reconciler) clearRefusal(token Token) {
	intent, ok := r.ledger.intents[token]
	if ok && r.Refusals != nil {
		r.Refusals.Clear(intent.Cell)
	}
}

func (r *Reconciler) appendRecord(now time.Time, record Record) Command {
	r.sequence++
	r.appendedAt = now
	record.At = now
	record.Fence = r.fence
	record.Sequence = r.sequence

	if record.Step == StepBuy {
		record.Token = Token{Fence: r.fence, Sequence: r.sequence}
	}

	r.pending[r.sequence] = record

	return AppendCommand{Record: record}
}

// resend appends the unread records again, in order; readers ignore
// duplicates.
func (r *Reconciler) resend(now time.Time) []Command {
	if now.Sub(r.appendedAt) < r.AppendRetryInterval {
		return nil
	}

	r.appendedAt = now

	sequences := make([]uint64, 0, len(r.pending))
	for sequence := range r.pending {
		sequences = append(sequences, sequence)
	}

	slices.Sort(sequences)

	commands := make([]Command, 0, len(sequences))
	for _, sequence := range sequences {
		commands = append(commands, AppendCommand{Record: r.pending[sequence]})
	}

	return commands
}
