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

// Picker chooses model engines for the attempts of answers.
type Picker struct {
	Clock    clock.Clock
	Manifest func() *manifest.Manifest
	Table    *routing.Table
}

var _ answer.Picker = (*Picker)(nil)

// Pick returns an engine that holds the model, in the wanted version if there
// is one. Until a roll-out has brought the wanted version up, an older one serves.
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
		WithRepeatable()
}

// choose picks until a server is found that is not just beginning to leave.
func (p *Picker) choose(request routing.Request) (answer.Choice, bool) {
	for range maxPicks {
		choice, err := p.Table.Pick(p.Clock.Now(), discovery.Random{}, request)
		if err != nil {
			return answer.Choice{}, false
		}

		start := p.Clock.Now()
		if choice.Sent(start) {
			return answer.Choice{Server: choice.ID(), Release: p.release(choice, start)}, true
		}
	}

	return answer.Choice{}, false
}

// maxPicks bounds the servers looked at for one attempt.
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
