package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoonlever/buffer"
	"monsoonlever/clock"
)

const (
	// stalledWriteTime is how long a write may wait for its client before the connection may be
	// closed for another one.
	stalledWriteTime = time.Second
	// maxStalledScan bounds the connections that are searched for a stalled write.
	maxStalledScan = 64
)

// Limits are limits for the requests of clients. Zero leaves that of the server, which HeaderBytes can't
// exceed.
type Limits struct {
	// HeaderBytes bounds a header, with the request line.
	HeaderBytes int
	// HeaderTimeout bounds the time until the header is complete, and IdleTimeout that between two
	// requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Guard is a listener for an http.Server that bounds what clients can hold. Its exported fields are
// set before Protect.
//
// It has at most Max connections. A new one takes the place of the one that is worth least: one that
// was refused, else the one that has been idle, is sending its header or is sending its body for
// longest, else one whose client doesn't read. A connection whose request is being served is never
// closed for another one; if there are only such, the new one is refused.
type Guard struct {
	net.Listener
	Clock clock.Clock
	// Max is the largest number of open connections.
	Max int
	// Counters may be nil.
	Counters *Counters
	// Limits returns the limits in force; nil leaves those of the server. It may be called from several
	// goroutines.
	Limits func() Limits
	// Headers bounds the memory of the headers of all requests; nil is no bound.
	Headers *buffer.Budget

	mu   sync.Mutex
	open int
	// phases are the open connections by phase, in the order in which they entered it.
	phases [phaseCount]connections
	linger lingerSlots
}

// Protect makes a server accept its connections from a listener by way of the guard, and returns the
// listener to pass to Serve. The server needs a ReadHeaderTimeout and an
// IdleTimeout, and no ReadTimeout. Its hooks are replaced and its handler is wrapped.
func (g *Guard) Protect(s *http.Server, l net.Listener) net.Listener {
	g.Listener = l
	s.ConnState = g.connState
	s.ConnContext = withConnection
	s.Handler = g.handler(s.Handler)

	return g
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.open
}

// Accept returns the next connection, for which another one may be closed.
func (g *Guard) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}

		c := &connection{Conn: conn, guard: g, memory: g.Headers.Reserve()}
		c.awaitsRequest.Store(true)

		evicted, ok := g.admit(c)
		if evicted != nil {
			// Its goroutine ends with an error of its read or write.
			_ = evicted.Conn.Close()
		}

		if ok {
			return c, nil
		}

		g.Counters.refused()
		g.linger.refuse(conn, refusalOverloaded)
	}
}

// admit counts a connection as open and reports whether there is room for it. It returns the
// connection to close for it, if any.
func (g *Guard) admit(c *connection) (evicted *connection, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.open >= g.Max {
		if evicted = g.victim(); evicted == nil {
			return nil, false
		}

		g.remove(evicted)
		g.Counters.evicted()
	}

	g.open++
	c.phase = phaseIdle
	g.phases[phaseIdle].pushBack(c)

	return evicted, true
}

// victim returns the connection to close for a new one, or nil. g.mu is held.
func (g *Guard) victim() *connection {
	for _, p := range evictable {
		if c := g.phases[p].front; c != nil {
			return c
		}
	}

	limit := g.Clock.Now().Add(-stalledWriteTime).UnixNano()
	c := g.phases[phaseServed].front

	for range maxStalledScan {
		if c == nil {
			return nil
		}

		if since := c.writingSince.Load(); since != 0 && since < limit {
			return c
		}

		c = c.next
	}

	return nil
}

// enter moves a connection to the end of a phase.
func (g *Guard) enter(c *connection, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if c.phase == phaseNone {
		return
	}

	g.phases[c.phase].remove(c)
	c.phase = p
	g.phases[p].pushBack(c)
}

// forget stops counting a connection.
func (g *Guard) forget(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
}

// remove is forget. g.mu is held.
func (g *Guard) remove(c *connection) {
	if c.phase == phaseNone {
		return
	}

	g.phases[c.phase].remove(c)
	c.phase = phaseNone
	g.open--
}

// connState follows the phases that net/http knows.
func (g *Guard) connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok && state == http.StateIdle {
		c.endRequest()
		g.enter(c, phaseIdle)
	}
}

// handler follows the phases of a request.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)

			return
		}

		c.beginServing()

		if r.Body == nil || r.Body == http.NoBody {
			g.enter(c, phaseServed)
		} else {
			g.enter(c, phaseBody)
			r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
		}

		next.ServeHTTP(w, r)
	})
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}
