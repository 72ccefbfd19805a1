package discovery

import (
	"sync/atomic"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Server is one backend server with a client for it.
type Server struct {
	listing provider.Listing
	engine  backend.Engine
	plain   backend.PlainServer
	// cacheSequence is the last cache event that was read.
	cacheSequence atomic.Uint64
	// askState is when the engine's state is to be asked again, in nanoseconds.
	askState atomic.Int64
}

func (s *Server) stateDue(now time.Time) bool {
	return now.UnixNano() >= s.askState.Load()
}

func (s *Server) askStateAt(t time.Time) {
	s.askState.Store(t.UnixNano())
}

// ID returns the instance of the server.
func (s *Server) ID() fleet.InstanceID {
	return s.listing.ID
}

// Address returns the host:port of the server.
func (s *Server) Address() string {
	return s.listing.Address
}

// Service returns the service that the server belongs to.
func (s *Server) Service() fleet.Service {
	return s.listing.Service
}

// Domain returns the failure domain of the server.
func (s *Server) Domain() fleet.FailureDomain {
	return s.listing.Domain
}

// Engine returns the client of a model engine.
func (s *Server) Engine() backend.Engine {
	return s.engine
}

// Plain returns the client of a plain service.
func (s *Server) Plain() backend.PlainServer {
	return s.plain
}
