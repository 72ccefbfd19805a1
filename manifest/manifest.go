// Package manifest holds the one document by which operators steer a deployment:
// regions, machine classes, models, services, client accounts and the latency
// that each kind of call must meet.
//
// A manifest is written in JSON with comments. Parse reports every finding with
// its line, and a Manifest without findings never changes, so a request reads it
// without a lock. The reference of the format is docs/manifest.md.
//
// # Usage
//
//	m, err := manifest.Parse("kronvig.manifest.jsonc", data)
//	if err != nil {
//		return err
//	}
//	account, ok := m.AccountByKey(secret)
//	call, ok := m.Call("payrun-api", "POST", "/bank-files")
package manifest

import (
	"crypto/sha256"
	"time"

	"monsoonlever/fleet"
)

// Manifest is one version of the operators' document. It is immutable.
type Manifest struct {
	wire     *wireManifest
	regions  []Region
	models   []Model
	services []Service
	accounts []Account

	modelByName   map[fleet.Model]int
	serviceByName map[fleet.Service]int
	accountByName map[fleet.Account]int
	accountByHash map[keyHash]int
}

// Name returns the name of the deployment's manifest.
func (m *Manifest) Name() string { return m.wire.Name }

// Currency returns the ISO 4217 code of every price.
func (m *Manifest) Currency() string { return m.wire.Currency }

// Regions returns the regions in the order of the document.
func (m *Manifest) Regions() []Region { return clone(m.regions) }

// Models returns the models in the order of the document.
func (m *Manifest) Models() []Model { return clone(m.models) }

// Services returns the services in the order of the document.
func (m *Manifest) Services() []Service { return clone(m.services) }

// Accounts returns the client accounts in the order of the document.
func (m *Manifest) Accounts() []Account { return clone(m.accounts) }

// KeyWindow returns how long an idempotency key is remembered by default.
func (m *Manifest) KeyWindow() time.Duration { return m.wire.Idempotency.KeyWindow }

// LogRetention returns how long the log keeps a record.
func (m *Manifest) LogRetention() time.Duration { return m.wire.Idempotency.LogRetention }

// SpareFailureDomains returns how many failure domains may be lost at once
// without a loss of the capacity that the load needs.
func (m *Manifest) SpareFailureDomains() int { return m.wire.Capacity.SpareFailureDomains }

// Model returns the model of a name.
func (m *Manifest) Model(name fleet.Model) (Model, bool) {
	i, ok := m.modelByName[name]
	if !ok {
		return Model{}, false
	}

	return m.models[i], true
}

// Service returns the service of a name.
func (m *Manifest) Service(name fleet.Service) (Service, bool) {
	i, ok := m.serviceByName[name]
	if !ok {
		return Service{}, false
	}

	return m.services[i], true
}

// Call returns the kind of a call to a plain service.
func (m *Manifest) Call(service fleet.Service, method, path string) (Call, bool) {
	s, ok := m.Service(service)
	if !ok {
		return Call{}, false
	}

	return s.CallFor(method, path)
}

// Account returns the client account of a name.
func (m *Manifest) Account(name fleet.Account) (Account, bool) {
	i, ok := m.accountByName[name]
	if !ok {
		return Account{}, false
	}

	return m.accounts[i], true
}

// AccountByKey returns the client account that a caller's secret belongs to.
func (m *Manifest) AccountByKey(secret string) (Account, bool) {
	i, ok := m.accountByHash[sha256.Sum256([]byte(secret))]
	if !ok {
		return Account{}, false
	}

	return m.accounts[i], true
}

func clone[T any](items []T) []T {
	return append([]T(nil), items...)
}
