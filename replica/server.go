package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

const (
	// maxConnections bounds the connections of others: three feeds for each member of a
	// relay, where the relay stands in for several others.
	maxConnections = 600
	// maxWait bounds how long one read waits for a change.
	maxWait = 30 * time.Second
	// idleTimeout is how long a connection without a request is kept, and writeTimeout bounds
	// the writing of one frame.
	idleTimeout  = time.Minute
	writeTimeout = 3 * time.Second
	// acceptPause follows a failure to accept a connection.
	acceptPause = 100 * time.Millisecond
)

// Server answers the reads of other instances from logs. Its fields are set before Run.
type Server struct {
	Clock clock.Clock
	Feeds map[string]*Log

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// whole are the newest whole sets by feed.
	whole map[string]*wholeSet
}

// Run serves until ctx ends, and closes the listener and all connections.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	var group conc.WaitGroup
	defer group.Wait()

	group.Go(func() {
		<-ctx.Done()

		_ = l.Close()
		s.closeAll()
	})

	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "connections of other instances are not accepted")
				clock.Sleep(ctx, s.Clock, acceptPause)
			}

			continue
		}

		if !s.open(ctx, conn) {
			_ = conn.Close() // the other instance reads elsewhere

			continue
		}

		group.Go(func() {
			defer s.close(conn)

			s.serve(ctx, conn)
		})
	}
}

func (s *Server) open(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.conns) >= maxConnections || ctx.Err() != nil {
		return false
	}

	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}

	s.conns[conn] = struct{}{}

	return true
}

func (s *Server) close(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, conn)

	_ = conn.Close() // nothing is left to be said
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for conn := range s.conns {
		_ = conn.Close() // the other side sees the end
	}
}

// serve answers the requests of one connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	reader := bufio.NewReader(conn)

	for ctx.Err() == nil {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}

		var r request
		if err := readMessage(reader, &r); err != nil {
			return
		}

		if err := s.answer(ctx, conn, r); err != nil {
			klog.V(1).InfoS("read of another instance ended", "feed", r.Feed, "err", err.Error())

			return
		}
	}
}

// answer sends what a read gets.
func (s *Server) answer(ctx context.Context, conn net.Conn, r request) error {
	frames, err := s.read(ctx, r)
	if err != nil {
		return err
	}

	for _, data := range frames {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}

		if _, err := conn.Write(data); err != nil {
			return err
		}
	}

	return nil
}

// read returns the encoded frames of an answer.
func (s *Server) read(ctx context.Context, r request) ([][]byte, error) {
	log := s.Feeds[r.Feed]
	if log == nil {
		return encodeAll([]frame{{Outcome: unavailable}})
	}

	if r.Whole {
		frames, err := s.wholeOf(r.Feed).read(ctx, s.Clock.Now(), log)
		if errors.Is(err, ErrUnavailable) {
			return encodeAll([]frame{{Outcome: unavailable}})
		}

		return frames, err
	}

	wait := min(max(time.Duration(r.WaitMilliseconds)*time.Millisecond, 0), maxWait)
	changes, err := log.Changes(ctx, r.From, wait)

	switch {
	case errors.Is(err, feed.ErrTrimmed):
		return encodeAll([]frame{{Outcome: trimmed}})
	case err != nil:
		return encodeAll([]frame{{Outcome: unavailable}})
	default:
		return encodeAll(framesOf(changes.Entries, changes.Next))
	}
}

func (s *Server) wholeOf(name string) *wholeSet {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.whole == nil {
		s.whole = make(map[string]*wholeSet)
	}

	if s.whole[name] == nil {
		s.whole[name] = &wholeSet{}
	}

	return s.whole[name]
}
