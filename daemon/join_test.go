package daemon

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"monsoonlever/gateway"
	"monsoonlever/refusal"
)

// gate is an address of an instance that passes nothing on until it is opened.
type gate struct {
	address string
	opened  chan struct{}
}

func (d *deployment) newGate(to string) *gate {
	l := d.listen()
	g := &gate{address: l.Addr().String(), opened: make(chan struct{})}

	d.t.Cleanup(func() { _ = l.Close() })
	d.group.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			d.group.Go(func() { g.pass(d, conn, to) })
		}
	})

	return g
}

func (g *gate) pass(d *deployment, conn net.Conn, to string) {
	defer conn.Close()

	select {
	case <-g.opened:
	case <-d.ctx.Done():
		return
	}

	other, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer other.Close()

	d.group.Go(func() {
		_, _ = io.Copy(other, conn)
		_ = other.Close()
	})

	_, _ = io.Copy(conn, other)
}

// startBehindGate starts the next instance, which can reach the others only
// through the gate.
func (d *deployment) startBehindGate(g *gate) *entry {
	i := len(d.entries)
	d.settings[i].Seeds = []string{g.address}

	started := d.entries
	d.entries = nil
	e := d.start(i)
	d.entries = slices.Concat(started, d.entries)

	return e
}

// missing returns what an instance says that it lacks.
func (d *deployment) missing(e *entry) []string {
	r, err := caller.Get("http://" + e.addresses.Operators + PathReady)
	if err != nil {
		return nil
	}
	defer r.Body.Close()

	if r.StatusCode == http.StatusNoContent {
		d.t.Fatal("got a ready instance, want one that waits for the others")
	}

	var got Readiness

	_ = json.NewDecoder(r.Body).Decode(&got)

	return got.Missing
}

// TestInstanceThatHasReachedNoOtherCallsNoAnswerUnknown guards against 404 for an
// accepted answer, and against callers being sent there, at an instance that has
// just started and does not know yet which others there are.
func TestInstanceThatHasReachedNoOtherCallsNoAnswerUnknown(t *testing.T) {
	t.Parallel()

	d := newPlatform(t, time.Millisecond)
	d.writeSettings(3)

	all := d.settings
	d.settings = all[:2]
	d.startAll()
	d.settings = all

	g := d.newGate(d.entries[0].addresses.Peers)
	late := d.startBehindGate(g)

	d.eventually("only the others are missing", func() bool {
		return slices.Equal(d.missing(late), []string{"no other entry instance was reached yet"})
	})

	location, status := d.accept(d.entries[0], essay(0))
	if status != http.StatusAccepted {
		t.Fatalf("status: got %d, want %d", status, http.StatusAccepted)
	}

	var refused refusal.Body

	status, err := d.fetch(late, location, testAccount, &refused)
	if err != nil || status != http.StatusServiceUnavailable || refused.Error.Code != refusal.AnswerUnreachable {
		t.Errorf("fetch before it reached others: got %d %s, %v, want %s", status, refused.Error.Code, err, refusal.AnswerUnreachable)
	}

	close(g.opened)
	d.eventually("the others were reached", func() bool {
		d.look(late)

		return !late.parts.peers.group.Isolated()
	})
	d.waitReady(late)

	var got gateway.Progress

	d.eventually("the answer is whole", func() bool {
		status, err = d.fetch(late, location, testAccount, &got)
		if err != nil || status != http.StatusOK && status != http.StatusAccepted {
			t.Fatalf("fetch: got %d, %v, want 200 or 202", status, err)
		}

		return status == http.StatusOK
	})

	if want := wantAnswer(essay(0), longAnswer); got.Text != want {
		t.Errorf("text: got %q, want %q", got.Text, want)
	}
}
