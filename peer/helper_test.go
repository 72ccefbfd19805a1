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

type note struct {
	Text string
}

// deployment writes keys for the names and returns their directory.
func deployment(t testing.TB, names ...string) string {
	t.Helper()

	dir := t.TempDir()
	if err := keys.WriteDeployment(dir, names, time.Now()); err != nil {
		t.Fatal(err)
	}

	return dir
}

func loadTLS(t testing.TB, dir, name string) *tls.Config {
	t.Helper()

	files := keys.Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}

	config, err := files.TLS(clock.System{})
	if err != nil {
		t.Fatal(err)
	}

	return config
}

// newNode returns a node with a listener; the test runs it with start.
func newNode(t testing.TB, dir, name string) *Node {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	return &Node{
		ID:          fleet.InstanceID(name),
		Incarnation: 7,
		Domain:      "ballerup-a",
		Deployment:  "kronvig",
		Listener:    listener,
		Advertise:   listener.Addr().String(),
		TLS:         loadTLS(t, dir, name),
		Clock:       clock.System{},
	}
}

// start runs the node until the test ends, and checks that Run returns.
func start(t testing.TB, n *Node) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- n.Run(ctx) }()

	t.Cleanup(func() {
		cancel()

		if err := <-done; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	})
}
