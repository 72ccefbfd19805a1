package daemon

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/admission"
	"monsoonlever/manifest"
	"monsoonlever/publication"
)

// configure puts the limits and objectives of a manifest in force.
func (p *parts) configure(s *publication.Snapshot) {
	p.claims.begin(s.Manifest())
	p.recorder.Configure(p.clock.Now(), objectives(s.Manifest()))

	p.watcher.Refresh()

	if err := p.admission.Configure(p.clock.Now(), admissionConfig(s.Manifest())); err != nil {
		klog.ErrorS(err, "limits of the manifest could not be put in force", "version", s.Version())
	}
}

func admissionConfig(m *manifest.Manifest) admission.Config {
	var config admission.Config

	for _, s := range m.Services() {
		service := admission.ServiceConfig{Service: s.Name()}

		for _, call := range s.Calls() {
			service.Kinds = append(service.Kinds, admission.KindConfig{Kind: call.Name(), Target: target(call)})
		}

		config.Services = append(config.Services, service)
	}

	for _, a := range m.Accounts() {
		config.Accounts = append(config.Accounts, admission.AccountConfig{
			Account:           a.Name(),
			RequestsPerSecond: a.Limits().RequestsPerSecond(),
			TokensPerSecond:   a.Limits().TokensPerSecond(),
			Concurrent:        a.Limits().Concurrent(),
			Weight:            a.Weight(),
		})
	}

	return config
}

// target returns the latency that a kind of call is steered by: the time to the
// first token of a model call, and the whole time of a plain one.
func target(call manifest.Call) time.Duration {
	if first := call.LatencyTarget().FirstToken(); first > 0 {
		return first
	}

	return call.LatencyTarget().Whole()
}
