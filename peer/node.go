package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	defaultQueueLength = 256
	defaultIdleTimeout = 15 * time.Minute
	defaultCallTimeout = 5 * time.Second
	// handshakeTimeout bounds dialing, the TLS handshake and both hellos.
	handshakeTimeout = 5 * time.Second
	// keepAliveIdle is long enough to keep the probe traffic of a few hundred
	// idle connections small.
	keepAliveIdle = 2 * time.Minute
	// maxRunningCalls bounds the request handlers that run at the same time.
	maxRunningCalls = 256
	// acceptRetryDelay is the delay before the next accept after a failed one.
	acceptRetryDelay = 100 * time.Millisecond
)

// Node sends and receives messages for one instance. The exported fields must be
// set and the handlers registered before Run.
type Node struct {
	// ID names the instance; the certificate must carry it as a DNS name.
	ID fleet.InstanceID
	// Incarnation identifies this start of the process on the instance.
	Incarnation fleet.Incarnation
	// Domain is the failure domain of the instance.
	Domain fleet.FailureDomain
	// Deployment names the deployment; remotes of other deployments are refused.
	Deployment string
	// Listen is the host:port to listen on. It is ignored if Listener is set.
	Listen string
	// Listener, if set, accepts the connections instead of a new listener on
	// Listen. Run closes it.
	Listener net.Listener
	// Advertise is the host:port at which remotes reach the node.
	Advertise string
	// TLS holds the node's key and the CA, as keys.Files.TLS returns them.
	TLS *tls.Config
	// Clock drives backoff, idle timeouts and call timeouts.
	Clock clock.Clock
	// Droppable lists the kinds whose oldest queued message is dropped when a
	// new one finds the queue full.
	Droppable []Kind
	// QueueLength bounds each of the two queues to a remote; 0 means 256.
	QueueLength int
	// MaxBody bounds the body of a frame in bytes; 0 means DefaultMaxBody.
	MaxBody int
	// IdleTimeout closes a connection after this time without a message sent;
	// 0 means 15 minutes.
	IdleTimeout time.Duration
	// CallTimeout bounds a Call; 0 means 5 seconds.
	CallTimeout time.Duration

	messageHandlers map[Kind]messageHandler
	callHandlers    map[Kind]callHandler
	refusals        refusalLog
	calls           pendingCalls
	callSlots       chan struct{}

	mu      sync.Mutex
	started bool
	stopped bool
	links   map[string]*link
	conns   map[*conn]struct{}
	tasks   *conc.WaitGroup
	ctx     context.Context
}

// Run accepts connections and exchanges messages until ctx ends or the listener
// is closed. It returns after every goroutine of the node has ended.
func (n *Node) Run(ctx context.Context) error {
	if n.TLS == nil {
		return ErrNoTLS
	}

	listener, err := n.listen(ctx)
	if err != nil {
		return merry.Prepend(err, "listen for peers")
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	n.callSlots = make(chan struct{}, maxRunningCalls)
	tasks := conc.NewWaitGroup()
	n.start(ctx, tasks)

	tasks.Go(func() {
		<-ctx.Done()

		_ = listener.Close()
	})

	err = n.accept(ctx, listener)

	cancel()
	n.stop()
	tasks.Wait()

	return err
}

func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	if n.Listener != nil {
		return n.Listener, nil
	}

	var config net.ListenConfig
	config.KeepAliveConfig = keepAlive()

	return config.Listen(ctx, "tcp", n.Listen)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: 15 * time.Second, Count: 4}
}

// start marks the node as running and starts the links that Send created before
// Run.
func (n *Node) start(ctx context.Context, tasks *conc.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.ctx = ctx
	n.tasks = tasks
	n.started = true

	for _, l := range n.links {
		n.startLink(l)
	}
}

func (n *Node) startLink(l *link) {
	ctx := n.ctx
	n.tasks.Go(func() { l.run(ctx) })
}

// stop marks the node as stopped and closes every connection, so that the
// goroutines that read them return.
func (n *Node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.stopped = true

	for c := range n.conns {
		c.close()
	}
}

// accept serves incoming connections until ctx ends or the listener is closed.
// Other errors, such as too many open files, are temporary: it retries after
// acceptRetryDelay.
func (n *Node) accept(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()

		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = raw.Close()
			}

			return nil
		case errors.Is(err, net.ErrClosed):
			return merry.Prepend(err, "accept peer")
		case err != nil:
			acceptFailures.Inc()
			n.pause(ctx, acceptRetryDelay)

			continue
		}

		n.tasks.Go(func() { n.serveConn(ctx, raw) })
	}
}

// link returns the link to address and creates it if needed. It returns nil once
// the node has stopped.
func (n *Node) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stopped {
		return nil
	}

	if l, ok := n.links[address]; ok {
		return l
	}

	if n.links == nil {
		n.links = make(map[string]*link)
	}

	l := newLink(n, address)
	n.links[address] = l

	if n.started {
		n.startLink(l)
	}

	return l
}

func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.links[l.address] == l {
		delete(n.links, l.address)
	}
}

// pause waits for the given duration. It reports false if ctx ends before that.
func (n *Node) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.Clock.After(wait):
		return true
	}
}
