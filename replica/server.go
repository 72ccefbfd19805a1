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
	// maxConnections bounds the connections from other instances: three feeds for each
	// subscriber of a relay, with room for the subscribers of several failed relays.
	maxConnections = 600
	// maxWait bounds how long one read waits for a change.
	maxWait = 30 * time.Second
	// idleTimeout is how long a connection stays open without a request, and writeTimeout bounds
	// the write of one frame.
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
	// Others handle the connections that begin with their preface of prefaceBytes bytes, which no
	// request of a feed begins with. They close the connection.
	Others map[string]func(ctx context.Context, conn net.Conn, reader *bufio.Reader)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
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
		handle(ctx, conn, reader)

		return
	}

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

// prefaceBytes is the length of the prefaces of other protocols.
const prefaceBytes = 4

// otherHandler returns the handler for the preface that a connection begins with, and removes the
// preface from the reader. It returns nil if the connection begins with a request.
func (s *Server) otherHandler(conn net.Conn, reader *bufio.Reader) func(context.Context, net.Conn, *bufio.Reader) {
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
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
