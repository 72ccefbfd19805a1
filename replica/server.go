package replica

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

// DefaultMaxConnections bounds the connections from other instances: three feeds for each subscriber of a
// relay, with room for the subscribers of several failed relays.
const DefaultMaxConnections = 600

const (
	// maxRequestBytes bounds a request: the name of a feed and a position.
	maxRequestBytes = 4 << 10
	// maxWait bounds how long one read waits for a change.
	maxWait = 30 * time.Second
	// firstTimeout is how long a connection stays open before its first request, idleTimeout how long
	// without a further one, and writeTimeout bounds the write of one frame.
	firstTimeout = 5 * time.Second
	idleTimeout  = time.Minute
	writeTimeout = 3 * time.Second
	// acceptRetryDelay is the delay after a failure to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
)

// Server serves logs to other instances. Its fields are set before Run.
type Server struct {
	Clock clock.Clock
	// Feeds are the logs by the name of their feed.
	Feeds map[string]*Log
	// MaxConnections bounds the open connections; zero is DefaultMaxConnections. A connection that has
	// not sent a request yet makes room for a new one.
	MaxConnections int
	// Others handle the connections that begin with their preface of prefaceBytes bytes, which no
	// request of a feed begins with. They close the connection.
	Others map[string]func(ctx context.Context, conn net.Conn, reader *bufio.Reader)

	mu sync.Mutex
	// conns are the open connections, and silent those without a request so far, the oldest first.
	conns  map[net.Conn]struct{}
	silent []net.Conn
	// snapshots are the cached encoded snapshots by feed name.
	snapshots map[string]*snapshotCache
}

// Run serves connections until ctx ends. It returns after the listener and all connections are
// closed.
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
				klog.ErrorS(err, "failed to accept a connection from another instance")
				clock.Sleep(ctx, s.Clock, acceptRetryDelay)
			}

			continue
		}

		if !s.track(ctx, conn) {
			_ = conn.Close() // the other instance picks another source

			continue
		}

		group.Go(func() {
			defer s.closeConn(conn)

			s.serve(ctx, conn)
		})
	}
}

// track registers an accepted connection. It reports whether the connection may be served.
func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if ctx.Err() != nil {
		return false
	}

	if len(s.conns) >= cmp.Or(s.MaxConnections, DefaultMaxConnections) {
		if len(s.silent) == 0 {
			return false
		}

		oldest := s.silent[0]
		s.forget(oldest)

		_ = oldest.Close() // its goroutine ends with an error of its read
	}

	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}

	s.conns[conn] = struct{}{}
	s.silent = append(s.silent, conn)

	return true
}

// heard records that a connection has sent a request.
func (s *Server) heard(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.silent = slices.DeleteFunc(s.silent, func(other net.Conn) bool { return other == conn })
}

// forget stops counting a connection. s.mu is held.
func (s *Server) forget(conn net.Conn) {
	delete(s.conns, conn)

	s.silent = slices.DeleteFunc(s.silent, func(other net.Conn) bool { return other == conn })
}

func (s *Server) closeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.forget(conn)

	_ = conn.Close() // there is nothing left to send
}

func (s *Server) closeAllConns() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for conn := range s.conns {
		_ = conn.Close() // serve returns with a read or write error
	}
}

// serve handles the requests of one connection until it is closed or ctx ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	reader := bufio.NewReader(conn)

	if handle := s.otherHandler(conn, reader); handle != nil {
		s.heard(conn)
		handle(ctx, conn, reader)

		return
	}

	for first := true; ctx.Err() == nil; first = false {
		var r request
		if err := readMessageUpTo(reader, maxRequestBytes, &r); err != nil {
			return
		}

		if first {
			s.heard(conn)
		}

		if err := s.respond(ctx, conn, r); err != nil {
			klog.V(1).InfoS("read of another instance ended", "feed", r.Feed, "err", err.Error())

			return
		}

		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
	}
}

// prefaceBytes is the length of the prefaces of other protocols.
const prefaceBytes = 4

// otherHandler returns the handler for the preface that a connection begins with, and removes the
// preface from the reader. It returns nil if the connection begins with a request.
func (s *Server) otherHandler(conn net.Conn, reader *bufio.Reader) func(context.Context, net.Conn, *bufio.Reader) {
	if err := conn.SetReadDeadline(time.Now().Add(firstTimeout)); err != nil {
		return nil
	}

	preface, err := reader.Peek(prefaceBytes)
	if err != nil {
		return nil
	}

	handle := s.Others[string(preface)]
	if handle != nil {
		// The bytes are in the buffer, so that this can't fail.
		_, _ = reader.Discard(prefaceBytes)
	}

	return handle
}

// respond sends the response to a request.
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

// responseFrames returns the encoded frames of the response to a request.
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
