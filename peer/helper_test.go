package peer

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/keys"
)

const testKind = FirstKind

type textMessage struct {
	Text string
}

// writeKeys writes the CA and the keys of a deployment of the named instances,
// and returns their directory.
func writeKeys(tb testing.TB, names ...string) string {
	tb.Helper()

	dir := tb.TempDir()
	if err := keys.WriteDeployment(dir, names, time.Now()); err != nil {
		tb.Fatal(err)
	}

	return dir
}

func loadTLS(tb testing.TB, dir, name string) *tls.Config {
	tb.Helper()

	files := keys.Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}

	config, err := files.TLS(clock.System{})
	if err != nil {
		tb.Fatal(err)
	}

	return config
}

// newNode returns a node with an open listener; the test runs it with start.
func newNode(tb testing.TB, dir, name string) *Node {
	tb.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}

	tb.Cleanup(func() { _ = listener.Close() })

	return &Node{
		ID:          fleet.InstanceID(name),
		Incarnation: 7,
		Domain:      "ballerup-a",
		Deployment:  "kronvig",
		Listener:    listener,
		Advertise:   listener.Addr().String(),
		TLS:         loadTLS(tb, dir, name),
		Clock:       clock.System{},
	}
}

// start runs the node until the test ends, and checks that Run returns nil.
func start(tb testing.TB, n *Node) {
	tb.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- n.Run(ctx) }()

	tb.Cleanup(func() {
		cancel()

		if err := <-done; err != nil {
			tb.Errorf("run: got %v, want nil", err)
		}
	})
}
