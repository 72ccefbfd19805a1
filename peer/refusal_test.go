package peer

import (
	"context"
	"crypto/tls"
	"io"
	"testing"
)

func TestNodeRefusesUnverifiedRemotes(t *testing.T) {
	own := writeKeys(t, "a", "b", "c")
	foreign := writeKeys(t, "b")

	tests := []struct {
		desc   string
		change func(b *Node)
		want   Reason
	}{
		{desc: "key of another CA", change: func(b *Node) { b.TLS = loadTLS(t, foreign, "b") }, want: ReasonKey},
		{desc: "no key", change: func(b *Node) { b.TLS.Certificates = nil }, want: ReasonKey},
		{desc: "another deployment", change: func(b *Node) { b.Deployment = "abyssinia" }, want: ReasonDeployment},
		{desc: "key of another instance", change: func(b *Node) { b.ID = "c" }, want: ReasonIdentity},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			a, b := newNode(t, own, "a"), newNode(t, own, "b")
			Handle(a, testKind, func(Sender, textMessage) { t.Error("message of a refused remote was handled") })
			tt.change(b)

			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)

			go func() { done <- a.Run(ctx) }()

			before := refusedCounter(tt.want).Get()

			for range 2 {
				connectAndAwaitClose(t, b, a.Advertise)
			}

			// The remote sees the closed connection before the refusal is counted;
			// Run returns after both refusals are counted.
			cancel()

			if err := <-done; err != nil {
				t.Errorf("run: got %v, want nil", err)
			}

			if got, want := refusedCounter(tt.want).Get()-before, uint64(2); got != want {
				t.Errorf("refused: got %d, want %d", got, want)
			}

			a.refusals.mu.Lock()
			defer a.refusals.mu.Unlock()

			if got, want := a.refusals.lastReason["127.0.0.1"], tt.want; got != want {
				t.Errorf("logged reason: got %v, want %v", got, want)
			}
		})
	}
}

// connectAndAwaitClose sends b's hello and a message to address, and waits until
// the remote has closed the connection.
func connectAndAwaitClose(t *testing.T, b *Node, address string) {
	t.Helper()

	// The client accepts any server, so that only the server can refuse.
	config := b.TLS.Clone()
	config.VerifyConnection = nil

	c, err := tls.Dial("tcp", address, config)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()

	h, err := b.helloFrame()
	if err != nil {
		t.Fatal(err)
	}

	raw := appendFrame(nil, h)
	raw = appendFrame(raw, frame{form: formMessage, kind: testKind})
	_, _ = c.Write(raw)
	_, _ = io.Copy(io.Discard, c)
}

func TestRefusalIsLoggedOncePerRemoteAndReason(t *testing.T) {
	var r refusalLog

	tests := []struct {
		desc   string
		remote string
		reason Reason
		want   bool
	}{
		{desc: "first", remote: "10.0.0.1", reason: ReasonKey, want: true},
		{desc: "again", remote: "10.0.0.1", reason: ReasonKey, want: false},
		{desc: "another reason", remote: "10.0.0.1", reason: ReasonHello, want: true},
		{desc: "another remote", remote: "10.0.0.2", reason: ReasonKey, want: true},
	}

	for _, tt := range tests {
		if got := r.record(tt.remote, tt.reason); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, got, tt.want)
		}
	}
}
