package entry

import (
	"io"
	"log"

	"k8s.io/klog/v2"

	"monsoonlever/admission"
	"monsoonlever/feed"
	"monsoonlever/forward"
	"monsoonlever/platform"
	"monsoonlever/register"
	"monsoonlever/ruleset"
)

// quiet drops what net/http says of single connections; outcomes of requests are
// logged by themselves.
var quiet = log.New(io.Discard, "", 0)

// applyRules puts the newest rules in force. Rules that are malformed never
// replace those before.
func (p *parts) applyRules(entries []feed.Entry, _ bool) {
	var newest *feed.Entry

	for i := range entries {
		if entries[i].Key == platform.RulesKey && len(entries[i].Data) > 0 {
			newest = &entries[i]
		}
	}

	if newest == nil {
		return
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

	if err := p.limits.Configure(p.clock.Now(), p.limitsOf(rules)); err != nil {
		klog.ErrorS(err, "limits are not applied", "version", rules.Version())

		return
	}

	p.rules.Store(rules)
	p.shareConnections()
	klog.InfoS("rules in force", "version", rules.Version(), "offset", newest.At)
}

// unlimited is a concurrency that is never reached: the scheduler bounds what
// runs, and admission only the limits of client accounts.
const unlimited = 1 << 20

// burstAhead is how much of a limit all instances together may use at once, in
// time: what admission allows an even share and a share of its own.
const burstAhead = 4.0

// limitsOf maps the limits of client accounts. What operators allow within their
// window, with its tolerance, is held by a rate that includes the burst.
func (p *parts) limitsOf(rules *ruleset.Ruleset) admission.Config {
	config := admission.Config{Services: []admission.ServiceConfig{{
		Service: forward.LimitsService, MinConcurrent: unlimited, MaxConcurrent: unlimited, StartConcurrent: unlimited,
	}}}

	b := p.settings.Bounds
	window := b.LimitWindow.Seconds()

	for _, a := range rules.Accounts() {
		one := admission.AccountConfig{Account: a.Name}
		allowed := (a.Rate*window+a.Burst)*(1+b.LimitOvershoot) + b.LimitSlack
		rate := allowed / (window + burstAhead)

		switch {
		case a.Rate <= 0:
		case a.InTokens:
			one.TokensPerSecond = rate
		default:
			one.RequestsPerSecond = rate
		}

		config.Accounts = append(config.Accounts, one)
	}

	return config
}

// applyRegister takes changes of the backend servers in.
func (p *parts) applyRegister(entries []feed.Entry, whole bool) {
	now := p.clock.Now()

	var (
		changes []register.Change
		servers []register.Server
	)

	for _, e := range entries {
		if len(e.Data) == 0 {
			changes = append(changes, register.Change{ID: id(e.Key)})

			continue
		}

		s, err := platform.DecodeServer(e.Key, e.Data, now)
		if err != nil {
			klog.ErrorS(err, "entry of a backend server is not applied", "offset", e.At)

			continue
		}

		servers = append(servers, s)
		changes = append(changes, register.Change{ID: s.ID, Server: &s})
	}

	before := p.register.Servers()

	if whole {
		p.register.Replace(servers)
	} else {
		p.register.Apply(changes)
	}

	p.serversChanged(before)
}

// serversChanged tells the scheduler and the pool, if more changed than a number
// that counts entries.
func (p *parts) serversChanged(before []register.Server) {
	after := p.register.Servers()
	if same(before, after) {
		return
	}

	p.scheduler.Update(after)

	known := make(map[string]bool, len(after))
	for _, s := range after {
		known[string(s.ID)] = true
	}

	for _, s := range before {
		if !known[string(s.ID)] {
			p.pool.Forget(s.ID)
			klog.InfoS("backend server is gone", "server", s.ID, "service", s.Service)
		}
	}

	p.shareConnections()
	logServers(before, after)
}
