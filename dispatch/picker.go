package dispatch

import (
	"time"

	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/discovery"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/routing"
)

// Picker picks the model engine for each attempt at an answer.
type Picker struct {
	Clock    clock.Clock
	Manifest func() *manifest.Manifest
	Table    *routing.Table
}

var _ answer.Picker = (*Picker)(nil)

// Pick returns an engine that serves the model, and reports whether there is one. It
// prefers the version in the manifest. If no engine has that version, such as during a
// roll-out, it returns an engine with another version.
func (p *Picker) Pick(q answer.Query) (answer.Choice, bool) {
	m := p.Manifest()
	if m == nil {
		return answer.Choice{}, false
	}

	account, _ := m.Account(q.Account)

	service, _, ok := m.ServiceOf(q.Model, account)
	if !ok {
		return answer.Choice{}, false
	}

	model, _ := m.Model(q.Model)

	if choice, ok := p.choose(p.request(service.Name(), model.Version(), q)); ok {
		return choice, true
	}

	for _, version := range p.Table.Versions(service.Name(), q.Model) {
		if version == model.Version() {
			continue
		}

		if choice, ok := p.choose(p.request(service.Name(), version, q)); ok {
			return choice, true
		}
	}

	return answer.Choice{}, false
}

func (p *Picker) request(service fleet.Service, version fleet.ModelVersion, q answer.Query) routing.Request {
	return routing.NewRequest(routing.NewKey(service, q.Model, version, "")).
		Excluding(q.Exclude).
		WithPrefix(q.PromptPrefix).
		Preferring(q.Prefer).
		WithIdempotent()
}

// choose picks servers until one of them has not begun to leave since it was picked,
// at most maxPicks times.
func (p *Picker) choose(request routing.Request) (answer.Choice, bool) {
	for range maxPicks {
		choice, err := p.Table.Pick(p.Clock.Now(), discovery.Random{}, request)
		if err != nil {
			return answer.Choice{}, false
		}

		start := p.Clock.Now()
		if choice.Begin(start) {
			return answer.Choice{Server: choice.ID(), Release: p.release(choice, start)}, true
		}
	}

	return answer.Choice{}, false
}

// maxPicks is the maximum number of servers picked for one attempt.
const maxPicks = 4

func (p *Picker) release(choice routing.Choice, start time.Time) func(error, int) {
	return func(err error, tokens int) {
		now := p.Clock.Now()

		if err == nil {
			choice.Done(now, now.Sub(start), tokens)

			return
		}

		choice.Failed(now, failureOf(err))
	}
}
