package entry

import (
	"io"
	"log"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/feed"
	"monsoonlever/listener"
	"monsoonlever/platform"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/ruleset"
)

// discardLog discards the messages of net/http on single connections; the outcomes of requests are
// logged separately.
var discardLog = log.New(io.Discard, "", 0)

// applyRules puts the newest rules in force. Malformed rules never replace the previous ones.
func (p *components) applyRules(entries []feed.Entry, snapshot bool) {
	p.rollouts.receiveOrders(entries)

	var newest *feed.Entry

	for i := range entries {
		if entries[i].Key == platform.RulesKey && len(entries[i].Data) > 0 {
			newest = &entries[i]
		}
	}

	if newest == nil {
		return
	}

	if !snapshot {
		p.restoration.rulesWritten.Store(true)
	}

	spec, err := platform.DecodeRules(newest.Data)
	if err != nil {
		klog.ErrorS(err, "rules were rejected", "offset", newest.At)

		return
	}

	rules, err := ruleset.New(spec)
	if err != nil {
		klog.ErrorS(err, "rules were rejected", "version", spec.Version, "offset", newest.At)

		return
	}

	if old := p.rules.Load(); old != nil && old.Version() >= rules.Version() {
		return
	}

	p.checkRules(newest.Data, rules.Limits())
	p.limits.Configure(p.allowances(rules))
	p.rules.Store(rules)
	p.setConnectionLimits()
	klog.InfoS("rules in force", "version", rules.Version(), "offset", newest.At)
}

// checkRules logs the parts of the operators' rules that this instance does not follow. Unknown
// fields are only checked in the first rules: rules may be large, and new fields come with a
// change of the platform.
func (p *components) checkRules(data []byte, limits ruleset.Limits) {
	if p.rules.Load() == nil {
		p.unknownFields.CheckRules(data)
	}

	if limits.HeaderBytes > maxRuleHeaderBytes {
		klog.InfoS("rules allow callers larger headers than this instance does", "headerBytes", limits.HeaderBytes, "followed", maxRuleHeaderBytes)
	}
}

// callerLimits returns the limits for callers. Until rules are known they may allow more.
func (p *components) callerLimits() listener.Limits {
	limits := listener.Limits{HeaderBytes: maxRuleHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}

	if rules := p.rules.Load(); rules != nil {
		allowed := rules.Limits()
		limits.HeaderBytes = min(max(headerBytes, allowed.HeaderBytes), maxRuleHeaderBytes)
		limits.HeaderTimeout = max(headerTimeout, allowed.HeaderTimeout+headerTimeoutMargin)
		limits.IdleTimeout = max(idleTimeout, allowed.IdleTimeout)
	}

	return limits
}

// allowances returns the amount that the limit of each client account allows within a window,
// including the tolerance.
func (p *components) allowances(rules *ruleset.Ruleset) []quota.Allowance {
	b := p.bounds.Load()

	var all []quota.Allowance

	for _, a := range rules.Accounts() {
		if a.Rate <= 0 {
			continue
		}

		// The slack has the unit of the account's limit.
		amount := (a.Rate*b.LimitWindow.Seconds()+a.Burst)*(1+b.LimitOvershoot) + b.LimitSlack
		all = append(all, quota.Allowance{Account: a.Name, Amount: amount, Rate: a.Rate, Burst: a.Burst})
	}

	return all
}

// applyRegister applies changes, or a full snapshot, of the register.
func (p *components) applyRegister(entries []feed.Entry, snapshot bool) {
	now := p.clock.Now()
	changes := make([]register.Change, 0, len(entries))

	for _, e := range entries {
		changes = append(changes, p.decodeChange(e, now))
	}

	deltas := p.updateServers(func() []register.Delta {
		if snapshot {
			return p.replaceRegister(now, p.eraOf(entries), changes)
		}

		return p.register.Apply(changes)
	})
	if len(entries) > 0 {
		p.clearRegisterDivergence()
	}

	p.publishServerChanges(now, deltas)
}

// updateServers changes the register, applies the change to the scheduler and the pool, and
// returns what changed. Entries that only renew a server are left out. Changes are applied in the
// order in which they are made.
func (p *components) updateServers(change func() []register.Delta) []register.Delta {
	p.serversMu.Lock()
	defer p.serversMu.Unlock()

	deltas := slices.DeleteFunc(change(), func(d register.Delta) bool {
		return d.Before != nil && d.After != nil && sameServer(*d.Before, *d.After)
	})
	p.applyServerChanges(deltas)

	return deltas
}

// decodeChange decodes an entry of the register. An entry that can't be decoded counts as a
// removal, in a change as well as in a full snapshot. This way all instances know the same
// servers, and the server's next entry adds it again.
func (p *components) decodeChange(e feed.Entry, now time.Time) register.Change {
	c := register.Change{ID: instanceID(e.Key), Version: uint64(e.At)}

	if len(e.Data) == 0 {
		return c
	}

	s, err := platform.DecodeServer(e.Key, e.Data, now, &p.unknownFields)
	if err != nil {
		p.unusableServers.Inc()
		klog.ErrorS(err, "register entry of a backend server was rejected", "offset", e.At)

		return c
	}

	c.Server = &s

	return c
}

// applyServerChanges applies changes of the register to the scheduler and the pool. The caller
// holds serversMu.
func (p *components) applyServerChanges(deltas []register.Delta) {
	if len(deltas) == 0 && p.scheduler.Initialized() {
		return
	}

	p.scheduler.Update(p.register.Servers())

	for _, d := range deltas {
		switch {
		case d.After == nil:
			p.pool.RemoveServer(d.Before.ID)
			p.removedProcesses.add(d.Before.Process(), p.pool.Draining)
		case p.removedProcesses.restarted(d):
			// The requests of the previous process are lost.
			p.pool.Cut(d.After.ID)
		}

		if d.After != nil {
			p.setConnectionLimit(*d.After)
		}
	}

	p.logServerChanges(deltas)
}
