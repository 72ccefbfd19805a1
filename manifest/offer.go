package manifest

import (
	"slices"

	"monsoonlever/fleet"
)

// ServiceOf returns the first service that offers a model to an account. Where
// no service that the account may call offers it, ok is false; offered then
// tells whether some other service does.
func (m *Manifest) ServiceOf(model fleet.Model, account Account) (service Service, offered, ok bool) {
	for _, s := range m.Services() {
		if !slices.Contains(s.Models(), model) {
			continue
		}

		if account.Allows(s.Name()) {
			return s, true, true
		}

		offered = true
	}

	return Service{}, offered, false
}
