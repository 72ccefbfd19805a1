package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// view is what one step sees.
type view struct {
	now      time.Time
	manifest *manifest.Manifest
	servers  []Server
	// listed tells whether the instance list was read.
	listed bool
}

// serversOf returns the servers serversOf a service.
func (v view) serversOf(service fleet.Service) []Server {
	var servers []Server

	for _, s := range v.servers {
		if s.Service == service {
			servers = append(servers, s)
		}
	}

	return servers
}

// server returns the server of an instance.
func (v view) server(id fleet.InstanceID) (Server, bool) {
	for _, s := range v.servers {
		if s.ID == id {
			return s, true
		}
	}

	return Server{}, false
}
