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

// quiet drops what net/http says of single connections; outcomes of requests are
// logged by themselves.
var quiet = log.New(io.Discard, "", 0)

// applyRules puts the newest rules in force. Rules that are malformed never
// replace those before.
func (p *parts) applyRules(entries []feed.Entry, whole bool) {
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

	if !whole {
		p.restored.ruled.Store(true)
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
	p.shareConnections()
	klog.InfoS("rules in force", "version", rules.Version(), "offset", newest.At)
}

// checkRules logs what the operators' rules say that this instance does not follow. Fields are
// looked at in the first rules alone: rules may be large, and new fields come with a change of
// the platform.
func (p *parts) checkRules(data []byte, limits ruleset.Limits) {
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
func (p *parts) allowances(rules *ruleset.Ruleset) []quota.Allowance {
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
func (p *parts) applyRegister(entries []feed.Entry, whole bool) {
	now := p.clock.Now()
	changes := make([]register.Change, 0, len(entries))

	for _, e := range entries {
		changes = append(changes, p.changeOf(e, now))
	}

	deltas := p.changeServers(func() []register.Delta {
		if whole {
			return p.replaceRegister(now, p.eraOf(entries), changes)
		}

		return p.register.Apply(changes)
	})
	if len(entries) > 0 {
		p.registerCaughtUp()
	}

	p.tellServers(now, deltas)
}

// changeServers changes the register, has the change take effect, and returns what it
// changed but for what only counts entries. Changes take effect in their order.
func (p *parts) changeServers(change func() []register.Delta) []register.Delta {
	p.serversMu.Lock()
	defer p.serversMu.Unlock()

	deltas := slices.DeleteFunc(change(), func(d register.Delta) bool {
		return d.Before != nil && d.After != nil && sameServer(*d.Before, *d.After)
	})
	p.serversChanged(deltas)

	return deltas
}

// changeOf decodes the entry of a backend server. One that can't be used is like one
// that was removed, whether it is read as a change or as part of the whole: all
// instances know the same servers, and the server's own next entry brings it back.
func (p *parts) changeOf(e feed.Entry, now time.Time) register.Change {
	c := register.Change{ID: id(e.Key), Version: uint64(e.At)}

	if len(e.Data) == 0 {
		return c
	}

	s, err := platform.DecodeServer(e.Key, e.Data, now, &p.unknownFields)
	if err != nil {
		p.unusable.Inc()
		klog.ErrorS(err, "entry of a backend server is not used", "offset", e.At)

		return c
	}

	c.Server = &s

	return c
}

// serversChanged has the scheduler and the pool go by changes of servers. serversMu is held.
func (p *parts) serversChanged(deltas []register.Delta) {
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
			p.shareConnectionsOf(*d.After)
		}
	}

	p.logServers(deltas)
}
