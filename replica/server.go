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
	// acceptRetryDelay follows a failure to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
)

// Server answers the reads of other instances from logs. Its fields are set before Run.
type Server struct {
	Clock clock.Clock
	Feeds map[string]*Log

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// snapshots are the newest snapshots sets by feed.
	snapshots map[string]*snapshotCache
}

// Run serves until ctx ends, and closes the listener and all connections.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	var group conc.WaitGroup
	defer group.Wait()

	group.Go(func() {
		<-ctx.Done()

		_ = l.Close()
		s.closeAllConns()
	})

	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "connections of other instances are not accepted")
				clock.Sleep(ctx, s.Clock, acceptRetryDelay)
			}

			continue
		}

		if !s.track(ctx, conn) {
			_ = conn.Close() // the other instance reads elsewhere

			continue
		}

		group.Go(func() {
			defer s.closeConn(conn)

			s.serve(ctx, conn)
		})
	}
}

func (s *Server) track(ctx context.Context, conn net.Conn) bool {
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

func (s *Server) closeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, conn)

	_ = conn.Close() // nothing is left to be said
}

func (s *Server) closeAllConns() {
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

		if err := s.respond(ctx, conn, r); err != nil {
			klog.V(1).InfoS("read of another instance ended", "feed", r.Feed, "err", err.Error())

			return
		}
	}
}

// respond sends what a read gets.
func (s *Server) respond(ctx context.Context, conn net.Conn, r request) error {
	frames, err := s.responseFrames(ctx, r)
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

// responseFrames returns the encoded frames of an answer.
func (s *Server) responseFrames(ctx context.Context, r request) ([][]byte, error) {
	log := s.Feeds[r.Feed]
	if log == nil {
		return encodeFrames([]frame{{Outcome: unavailable}})
	}

	if r.Whole {
		frames, err := s.snapshotOf(r.Feed).read(ctx, s.Clock.Now(), log)
		if errors.Is(err, ErrUnavailable) {
			return encodeFrames([]frame{{Outcome: unavailable}})
		}

		return frames, err
	}

	wait := min(max(time.Duration(r.WaitMilliseconds)*time.Millisecond, 0), maxWait)
	changes, err := log.Changes(ctx, r.From, wait)

	switch {
	case errors.Is(err, feed.ErrTrimmed):
		return encodeFrames([]frame{{Outcome: trimmed}})
	case err != nil:
		return encodeFrames([]frame{{Outcome: unavailable}})
	default:
		return encodeFrames(splitIntoFrames(changes.Entries, changes.Next))
	}
}

func (s *Server) snapshotOf(feedName string) *snapshotCache {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.snapshots == nil {
		s.snapshots = make(map[string]*snapshotCache)
	}

	if s.snapshots[feedName] == nil {
		s.snapshots[feedName] = &snapshotCache{}
	}

	return s.snapshots[feedName]
}
