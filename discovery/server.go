package discovery

import (
	"sync/atomic"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/platform"
)

// Server is one backend server with a client for it.
type Server struct {
	listing platform.Listing
	engine  backend.Engine
	plain   backend.PlainServer
	// cacheSequence is the last cache event that was read.
	cacheSequence atomic.Uint64
	// askEngine is when the engine is to be asked again, in nanoseconds.
	askEngine atomic.Int64
}

func (s *Server) engineDue(now time.Time) bool {
	return now.UnixNano() >= s.askEngine.Load()
}

func (s *Server) askEngineAt(t time.Time) {
	s.askEngine.Store(t.UnixNano())
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
