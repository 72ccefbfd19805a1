package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/settings"
)

// reload applies the bounds of changed settings that may change while the instance runs: those of
// limits and of retries. Addresses and other settings take effect at the next start.
func (p *components) reload(s settings.Entry) {
	p.bounds.Store(&s.Bounds)

	if rules := p.rules.Load(); rules != nil {
		p.limits.Configure(p.allowances(rules))
	}

	p.splitBudgets()

	updated := s
	updated.Bounds, updated.Duties = p.settings.Bounds, p.settings.Duties

	before := p.settings
	klog.InfoS("settings reloaded", "instance", before.Instance,
		"restartNeeded", updated.Listen != before.Listen || updated.Store != before.Store || updated.Cloud != before.Cloud)
}
