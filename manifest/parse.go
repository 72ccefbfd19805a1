package manifest

import (
	"time"

	"monsoonlever/document"
	"monsoonlever/finding"
	"monsoonlever/fleet"
)

// Parse reads a manifest. Where it has findings the error is a *finding.Error
// with all of them and there is no manifest.
func Parse(file string, data []byte) (*Manifest, error) {
	var l finding.List

	wire := &wireManifest{Capacity: wireCapacity{SpareFailureDomains: DefaultSpareFailureDomains}}
	d := document.Decode(file, data, wire, &l)

	// Without a readable document every missing field would be a finding too.
	if !d.Has("") {
		return nil, l.Err()
	}

	newChecker(d, &l, wire).check()

	if err := l.Err(); err != nil {
		return nil, err
	}

	return build(wire), nil
}

// build makes the lookups of a manifest without findings.
func build(wire *wireManifest) *Manifest {
	m := &Manifest{
		wire:          wire,
		modelByName:   map[fleet.Model]int{},
		serviceByName: map[fleet.Service]int{},
		accountByName: map[fleet.Account]int{},
		accountByHash: map[keyHash]int{},
	}

	for i := range wire.Regions {
		m.regions = append(m.regions, buildRegion(&wire.Regions[i]))
	}

	for i := range wire.Models {
		m.models = append(m.models, Model{wire: &wire.Models[i]})
		m.modelByName[wire.Models[i].Name] = i
	}

	for i := range wire.Services {
		m.services = append(m.services, buildService(wire, &wire.Services[i]))
		m.serviceByName[wire.Services[i].Name] = i
	}

	for i := range wire.Accounts {
		m.addAccount(i, &wire.Accounts[i])
	}

	return m
}

func buildRegion(wire *wireRegion) Region {
	r := Region{wire: wire}

	for i := range wire.FailureDomains {
		d := FailureDomain{region: wire.Name, wire: &wire.FailureDomains[i]}
		for j := range d.wire.Classes {
			d.classes = append(d.classes, Class{wire: &d.wire.Classes[j]})
		}

		r.domains = append(r.domains, d)
	}

	return r
}

func buildService(m *wireManifest, wire *wireService) Service {
	s := Service{wire: wire}

	for i := range wire.Calls {
		call := Call{wire: &wire.Calls[i]}
		if !call.Idempotent() {
			call.keyWindow = keyWindowOf(call.wire, m.Idempotency.KeyWindow)
		}

		s.calls = append(s.calls, call)
	}

	if wire.Kind == PlainService {
		s.routes = routesOf(wire.Calls)
	}

	for _, c := range m.Capacity.Services {
		if c.Service == wire.Name {
			s.capacity = ServiceCapacity{minimum: c.Min, maximum: c.Max}
		}
	}

	return s
}

func (m *Manifest) addAccount(index int, wire *wireAccount) {
	m.accounts = append(m.accounts, Account{wire: wire})
	m.accountByName[wire.Name] = index

	for _, text := range wire.KeyHashes {
		if hash, ok := parseKeyHash(text); ok {
			m.accountByHash[hash] = index
		}
	}
}

func keyWindowOf(call *wireCall, byDefault time.Duration) time.Duration {
	if call.KeyWindow != nil {
		return *call.KeyWindow
	}

	return byDefault
}
