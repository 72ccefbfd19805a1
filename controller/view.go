package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// view is the input of one step.
type view struct {
	now      time.Time
	manifest *manifest.Manifest
	servers  []Server
	// listed reports whether the instance list was read.
	listed bool
}

// serversOf returns the servers of a service.
func (v view) serversOf(service fleet.Service) []Server {
	var servers []Server

	for _, s := range v.servers {
		if s.Service == service {
			servers = append(servers, s)
		}
	}

	return servers
}

// server returns the server that runs on an instance.
func (v view) server(id fleet.InstanceID) (Server, bool) {
	for _, s := range v.servers {
		if s.ID == id {
			return s, true
		}
	}

	return Server{}, false
}
