package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/settings"
)

// reload puts the bounds of changed settings in force that may change while the
// instance runs: those of limits and of further sends. Addresses and the rest are
// taken from the file at the next start.
func (p *components) reload(s settings.Entry) {
	p.bounds.Store(&s.Bounds)

	if rules := p.rules.Load(); rules != nil {
		p.limits.Configure(p.allowances(rules))
	}

	p.retries.SetMinRetries(s.Bounds.Retries() / p.instanceCount())

	restart := s
	restart.Bounds, restart.Duties = p.settings.Bounds, p.settings.Duties

	before := p.settings
	klog.InfoS("settings reloaded", "instance", before.Instance,
		"restartNeeded", restart.Listen != before.Listen || restart.Store != before.Store || restart.Cloud != before.Cloud)
}
