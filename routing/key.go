package routing

import "monsoonlever/fleet"

// Key identifies a set of interchangeable servers: each can take any request for the
// key. A plain service has neither model, version nor role.
type Key struct {
	service fleet.Service
	model   fleet.Model
	version fleet.ModelVersion
	role    string
}

// NewKey returns the key of the servers with a service, model, version and role.
func NewKey(s fleet.Service, m fleet.Model, v fleet.ModelVersion, role string) Key {
	return Key{service: s, model: m, version: v, role: role}
}

// Service returns the service of the key.
func (k Key) Service() fleet.Service { return k.service }

// Model returns the model of the key, empty for a plain service.
func (k Key) Model() fleet.Model { return k.model }

// Version returns the model version of the key, empty for a plain service.
func (k Key) Version() fleet.ModelVersion { return k.version }

// Role returns the engine role of the key, empty for a plain service.
func (k Key) Role() string { return k.role }
