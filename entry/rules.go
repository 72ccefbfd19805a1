package entry

import (
	"io"
	"log"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/feed"
	"monsoonlever/platform"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/ruleset"
)

// discardLog drops what net/http says of single connections; outcomes of requests are
// logged by themselves.
var discardLog = log.New(io.Discard, "", 0)

// applyRules puts the newest rules in force. Rules that are malformed never
// replace those before.
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
		klog.ErrorS(err, "rules are not applied", "offset", newest.At)

		return
	}

	rules, err := ruleset.New(spec)
	if err != nil {
		klog.ErrorS(err, "rules are not applied", "version", spec.Version, "offset", newest.At)

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

// checkRules logs what the operators' rules say that this instance does not follow. Fields are
// looked at in the first rules alone: rules may be large, and new fields come with a change of
// the platform.
func (p *components) checkRules(data []byte, limits ruleset.Limits) {
	if p.rules.Load() == nil {
		p.unknownFields.CheckRules(data)
	}

	if limits.HeaderBytes > maxHeaderBytes || limits.HeaderTimeout > headerTimeout || limits.IdleTimeout > idleTimeout {
		klog.InfoS("rules allow callers more than this instance does", "headerBytes", limits.HeaderBytes,
			"headerTimeout", limits.HeaderTimeout, "idleTimeout", limits.IdleTimeout)
	}
}

// allowances maps the limits of client accounts to what operators allow within
// their window, its tolerance included.
func (p *components) allowances(rules *ruleset.Ruleset) []quota.Allowance {
	b := p.bounds.Load()

	var all []quota.Allowance

	for _, a := range rules.Accounts() {
		if a.Rate <= 0 {
			continue
		}

		// The slack is counted in what the account's limit is counted in.
		amount := (a.Rate*b.LimitWindow.Seconds()+a.Burst)*(1+b.LimitOvershoot) + b.LimitSlack
		all = append(all, quota.Allowance{Account: a.Name, Amount: amount, Rate: a.Rate})
	}

	return all
}

// applyRegister takes changes of the backend servers in.
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

// updateServers changes the register, has the change take effect, and returns what it
// changed but for what only counts entries. Changes take effect in their order.
func (p *components) updateServers(change func() []register.Delta) []register.Delta {
	p.serversMu.Lock()
	defer p.serversMu.Unlock()

	deltas := slices.DeleteFunc(change(), func(d register.Delta) bool {
		return d.Before != nil && d.After != nil && sameServer(*d.Before, *d.After)
	})
	p.applyServerChanges(deltas)

	return deltas
}

// decodeChange decodes the entry of a backend server. One that can't be used is like one
// that was removed, whether it is read as a change or as part of the whole: all
// instances know the same servers, and the server's own next entry brings it back.
func (p *components) decodeChange(e feed.Entry, now time.Time) register.Change {
	c := register.Change{ID: instanceID(e.Key), Version: uint64(e.At)}

	if len(e.Data) == 0 {
		return c
	}

	s, err := platform.DecodeServer(e.Key, e.Data, now, &p.unknownFields)
	if err != nil {
		p.unusableServers.Inc()
		klog.ErrorS(err, "entry of a backend server is not used", "offset", e.At)

		return c
	}

	c.Server = &s

	return c
}

// applyServerChanges has the scheduler and the pool go by changes of servers. serversMu is held.
func (p *components) applyServerChanges(deltas []register.Delta) {
	if len(deltas) == 0 && p.scheduler.Initialized() {
		return
	}

	p.scheduler.Update(p.register.Servers())

	for _, d := range deltas {
		switch {
		case d.After == nil:
			p.pool.RemoveServer(d.Before.ID)
		case d.Before != nil && d.Before.Process() != d.After.Process():
			// What ran there is lost.
			p.pool.Cut(d.After.ID)
		}

		if d.After != nil {
			p.setConnectionLimit(*d.After)
		}
	}

	p.logServerChanges(deltas)
}
