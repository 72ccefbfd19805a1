package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 2 * time.Second
)

// Server serves a stand-in on its own listener and can be killed.
type Server struct {
	listener net.Listener
	http     *http.Server
	serving  conc.WaitGroup
}

// NewServer returns a server that the Kill fault of f kills; f may be nil.
func NewServer(l net.Listener, h http.Handler, f *Faults) *Server {
	s := &Server{
		listener: l,
		http:     &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
	}

	if f != nil {
		f.OnKill = s.Kill
	}

	return s
}

// StartServer serves on a free port of the loopback until Kill; Wait returns
// once it has ended.
func StartServer(h http.Handler, f *Faults) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing is to be resolved
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}

	s := NewServer(l, h, f)
	// Serve returns when the server is killed, and only then.
	s.serving.Go(func() { _ = s.http.Serve(l) })

	return s, nil
}

// Wait returns once a started server has ended.
func (s *Server) Wait() {
	s.serving.Wait()
}

// Address returns the host:port that is listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends, and then lets calls end for a short time, or until
// the server is killed.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)

	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()

	wg.Go(func() {
		<-ctx.Done()
		s.stop()
	})

	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve stand-in")
	}

	return nil
}

func (s *Server) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()

	if s.http.Shutdown(ctx) != nil {
		s.Kill()
	}
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	// What cannot be closed is closed already.
	_ = s.http.Close()
}
