package placement

import (
	"slices"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// purchase calls the cloud API for every intent without an instance. This
// includes a retired intent while an earlier call may still take effect: once
// its token is known to be used, a delayed call cannot buy with it.
func (r *Reconciler) purchase(now time.Time) []Command {
	var commands []Command

	for _, intent := range r.ledger.Intents() {
		if _, ok := r.observed[intent.Token]; ok {
			continue
		}

		c := r.call(intent.Token)
		if c.bought || c.outstanding || r.isUnfulfillable(intent, c) {
			continue
		}

		if !c.lastAt.IsZero() && now.Sub(c.lastAt) < r.PurchaseRetryInterval {
			continue
		}

		c.outstanding = true
		c.lastAt = now

		commands = append(commands, BuyCommand{Token: intent.Token, Purchase: provider.Purchase{
			Token:  intent.Token.Purchase(r.Owner),
			Class:  intent.Cell.Class,
			Domain: intent.Cell.Domain,
			Market: intent.Cell.Market,
		}})
	}

	return commands
}

// isUnfulfillable reports whether an intent without an instance can never get one:
// all calls with its token were made under this grant and refused, or it was
// retired before any call.
func (r *Reconciler) isUnfulfillable(intent Intent, c *purchaseCall) bool {
	if intent.Token.Fence != r.fence || c.unknown || c.outstanding {
		return false
	}

	return c.refused || intent.Retired
}

// finishIntents closes intents whose instance no longer exists or can never exist,
// and drains and releases retired instances.
func (r *Reconciler) finishIntents(now time.Time) []Command {
	var commands []Command

	for _, intent := range r.ledger.Intents() {
		o, ok := r.observed[intent.Token]
		if !ok {
			commands = append(commands, r.closeIntent(now, intent)...)

			continue
		}

		if intent.Retired {
			commands = append(commands, r.drain(now, o)...)
		}
	}

	return commands
}

func (r *Reconciler) closeIntent(now time.Time, intent Intent) []Command {
	c := r.call(intent.Token)
	if !c.bought && !r.isUnfulfillable(intent, c) || r.isPending(intent.Token) {
		return nil
	}

	return []Command{r.appendRecord(now, Record{Step: StepClose, Token: intent.Token})}
}

func (r *Reconciler) drain(now time.Time, o *ObservedInstance) []Command {
	if o.DrainSince.IsZero() {
		o.DrainSince = now
		o.Idle = false
	}

	if o.Idle || now.Sub(o.DrainSince) >= r.DrainTimeout {
		return r.release(now, o)
	}

	return []Command{DrainCommand{Instance: o.Instance.ID}}
}

func (r *Reconciler) release(now time.Time, o *ObservedInstance) []Command {
	if !o.releasedAt.IsZero() && now.Sub(o.releasedAt) < r.PurchaseRetryInterval {
		return nil
	}

	o.releasedAt = now

	return []Command{ReleaseCommand{Instance: o.Instance.ID}}
}

// releaseOrphans releases instances of this owner without an intent. It skips
// instances of a newer grant, whose records this process has not read yet.
func (r *Reconciler) releaseOrphans(now time.Time) []Command {
	var commands []Command

	for _, token := range r.observedTokens() {
		if _, ok := r.ledger.intents[token]; ok || token.Fence > r.fence {
			continue
		}

		commands = append(commands, r.release(now, r.observed[token])...)
	}

	return commands
}

func (r *Reconciler) observedTokens() []Token {
	tokens := make([]Token, 0, len(r.observed))
	for token := range r.observed {
		tokens = append(tokens, token)
	}

	slices.SortFunc(tokens, Token.less)

	return tokens
}

// isUsable reports whether an intent has, or may get, an instance that can be used.
func (r *Reconciler) isUsable(intent Intent) bool {
	if intent.Retired {
		return false
	}

	if o, ok := r.observed[intent.Token]; ok {
		return !o.Leaving
	}

	c := r.call(intent.Token)

	return !c.bought && !c.refused
}

// adjustCounts opens missing intents and retires surplus or unusable ones.
func (r *Reconciler) adjustCounts(now time.Time, targets []Target, limits []Limit) []Command {
	var commands []Command

	for _, limit := range limits {
		wanted := make(map[Cell]int)
		total := 0

		for _, t := range targets {
			if t.Service == limit.Service {
				wanted[t.Cell] += t.Count
				total += t.Count
			}
		}

		commands = append(commands, r.openIntents(now, limit, targets)...)
		commands = append(commands, r.retireSurplus(now, limit, wanted, total)...)
		commands = append(commands, r.retireUnusable(now, limit.Service)...)
	}

	return commands
}

// openIntents appends intents up to the limit, which counts every intent that is
// not closed, since each has or may get an instance. Purchases beyond
// Limit.Needed are voluntary and count against ChangesPerHour.
func (r *Reconciler) openIntents(now time.Time, limit Limit, targets []Target) []Command {
	have := r.InstanceCounts(limit.Service)
	held := r.intentCount(limit.Service)
	moves := r.ChangesPerHour - r.ledger.VoluntaryPurchases(now)
	useful := 0

	for _, n := range have {
		useful += n
	}

	var commands []Command

	for _, t := range targets {
		if t.Service != limit.Service {
			continue
		}

		for have[t.Cell] < t.Count && held < limit.Max {
			voluntary := useful >= limit.Needed
			if voluntary && moves <= 0 {
				break
			}

			if voluntary {
				moves--
			}

			have[t.Cell]++
			held++
			useful++

			commands = append(commands, r.appendRecord(now, Record{
				Step: StepBuy, Service: t.Service, Cell: t.Cell, Voluntary: voluntary,
			}))
		}
	}

	return commands
}

func (r *Reconciler) intentCount(service fleet.Service) int {
	held := 0

	for _, intent := range r.ledger.Intents() {
		if intent.Service == service {
			held++
		}
	}

	return held
}

// retireSurplus retires intents beyond the wanted counts: immediately if nothing
// was bought, otherwise only while enough ready instances remain and the hourly
// limit allows it. At Limit.Max, where no replacement can be bought first, one
// ready instance may be retired before its replacement is bought.
func (r *Reconciler) retireSurplus(now time.Time, limit Limit, wanted map[Cell]int, total int) []Command {
	have := r.InstanceCounts(limit.Service)
	budget := retirementBudget{
		ready:     r.readyCount(limit.Service),
		minReady:  total,
		remaining: r.ChangesPerHour - r.ledger.VoluntaryRetirements(now),
	}

	if r.intentCount(limit.Service) >= limit.Max {
		budget.minReady = total - 1
	}

	var commands []Command

	for _, intent := range r.newestFirst(limit.Service) {
		if !r.isUsable(intent) || have[intent.Cell] <= wanted[intent.Cell] || r.isPending(intent.Token) {
			continue
		}

		o, bought := r.observed[intent.Token]
		if bought && !budget.take(o) || !bought && r.purchaseUndecided(intent) {
			continue
		}

		have[intent.Cell]--

		commands = append(commands, r.appendRecord(now, Record{Step: StepRetire, Token: intent.Token, Voluntary: bought}))
	}

	return commands
}

// purchaseUndecided reports whether a purchase call may still succeed. Such an
// intent is kept until the outcome is known: retiring it now would count as a
// change if the instance was bought.
func (r *Reconciler) purchaseUndecided(intent Intent) bool {
	c := r.call(intent.Token)

	return intent.Token.Fence != r.fence || c.outstanding || c.unknown
}

// retireUnusable retires intents whose instance is about to be reclaimed, and
// refused intents while an earlier call may still take effect.
func (r *Reconciler) retireUnusable(now time.Time, service fleet.Service) []Command {
	var commands []Command

	for _, intent := range r.ledger.Intents() {
		if intent.Service != service || intent.Retired || r.isPending(intent.Token) || !r.isUnusable(intent) {
			continue
		}

		commands = append(commands, r.appendRecord(now, Record{Step: StepRetire, Token: intent.Token}))
	}

	return commands
}

func (r *Reconciler) isUnusable(intent Intent) bool {
	if o, ok := r.observed[intent.Token]; ok {
		return o.Leaving
	}

	c := r.call(intent.Token)

	return c.refused && !c.bought && !r.isUnfulfillable(intent, c)
}

func (r *Reconciler) isPending(token Token) bool {
	for _, record := range r.pending {
		if record.Token == token {
			return true
		}
	}

	return false
}

func (r *Reconciler) readyCount(service fleet.Service) int {
	ready := 0

	for _, intent := range r.ledger.Intents() {
		o, ok := r.observed[intent.Token]
		if ok && intent.Service == service && !intent.Retired && o.Ready && !o.Leaving {
			ready++
		}
	}

	return ready
}

func (r *Reconciler) newestFirst(service fleet.Service) []Intent {
	var result []Intent

	for _, intent := range r.ledger.Intents() {
		if intent.Service == service {
			result = append(result, intent)
		}
	}

	slices.Reverse(result)

	return result
}
