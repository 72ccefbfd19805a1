package membership

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/keys"
	"monsoonlever/peer"
	"monsoonlever/provider"
)

// fakeList is an instance list with fixed listings.
type fakeList []provider.Listing

func (l fakeList) Listings(context.Context) ([]provider.Listing, error) {
	return l, nil
}

// messageExchange delivers messages between groups in one process, by
// address.
type messageExchange map[string]*Group

// newGroup creates a group that sends and receives through the exchange.
func (x messageExchange) newGroup(id fleet.InstanceID, i int, incarnation fleet.Incarnation) *Group {
	address := fmt.Sprintf("10.0.0.%d:1", i)
	g := &Group{
		Node: &peer.Node{
			ID: id, Incarnation: incarnation,
			Domain: "d", Advertise: address, Clock: clock.System{},
		},
		Clock:  clock.System{},
		Region: "r",
		Locate: func(l provider.Listing) (string, bool) { return l.Address, l.Service == "entry" },
	}
	g.prepare()

	source := Source{ID: g.Node.ID, Incarnation: incarnation, Address: address}
	g.send = func(o Outgoing) error {
		to, ok := x[o.to.address]
		if !ok {
			return peer.ErrUnreachable
		}

		to.enqueue(source, o.message)

		return nil
	}
	x[address] = g

	return g
}

// await waits until wanted accepts the group's view, for at most a minute.
func await(t *testing.T, g *Group, desc string, wanted func(*View) bool) {
	t.Helper()

	timeout := time.After(time.Minute)

	for {
		v := g.View()
		if wanted(v) {
			return
		}

		select {
		case <-v.Changed():
		case <-timeout:
			t.Fatalf("%s in the view of %s: condition not met within a minute", desc, g.Node.ID)
		}
	}
}

func TestGroupSpreadsMemberChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 5

		x := make(messageExchange)
		list := fakeList{{Service: "entry", Address: "10.0.0.0:1"}, {Service: "llm", Address: "10.9.9.9:1"}}
		ctx, cancel := context.WithCancel(t.Context())
		leaving, leave := context.WithCancel(ctx)
		done := make(chan error, size)

		var groups []*Group

		for i := range size {
			g := x.newGroup(fleet.InstanceID(fmt.Sprintf("entry-%d", i)), i, 1)
			g.List = list
			groups = append(groups, g)
		}

		for i, g := range groups {
			run := ctx
			if i == 1 {
				run = leaving
			}

			go func() { done <- g.Run(run) }()
		}

		all := func(desc string, wanted func(*View) bool) {
			for i, g := range groups {
				if i != 1 {
					await(t, g, desc, wanted)
				}
			}
		}

		all("members", func(v *View) bool { return len(v.Usable()) == size })

		if err := groups[1].SetPayload([]byte("v7"), Urgent); err != nil {
			t.Fatal(err)
		}

		all("payload", func(v *View) bool { return string(v.Member("entry-1").Payload()) == "v7" })
		groups[1].Leave()
		all("leaving", func(v *View) bool { return v.Member("entry-1").Phase() == Leaving && len(v.Usable()) == size-1 })
		leave()
		all("left", func(v *View) bool { return v.Member("entry-1").Phase() == Left && len(v.Live()) == size-1 })
		cancel()

		for range size {
			if err := <-done; err != nil {
				t.Errorf("run: got %v, want nil", err)
			}
		}
	})
}

func TestGroupStopsWhenSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := make(messageExchange)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		other, old, fresh := x.newGroup("entry-0", 0, 1), x.newGroup("entry-1", 1, 1), x.newGroup("entry-1", 2, 2)
		old.core.Discover(time.Now(), []string{"10.0.0.0:1"})

		ended := make(chan error, 3)
		superseded := make(chan error, 1)

		go func() { ended <- other.Run(ctx) }()
		go func() { superseded <- old.Run(ctx) }()

		await(t, other, "old process", func(v *View) bool { return v.Member("entry-1") != nil })

		fresh.core.Discover(time.Now(), []string{"10.0.0.0:1"})

		go func() { ended <- fresh.Run(ctx) }()

		if err := <-superseded; !errors.Is(err, ErrSuperseded) {
			t.Errorf("run of the old process: got %v, want %v", err, ErrSuperseded)
		}

		cancel()

		for range 2 {
			if err := <-ended; err != nil {
				t.Errorf("run: got %v, want nil", err)
			}
		}
	})
}

func TestGroupOverTLS(t *testing.T) {
	const size = 3

	names := []string{"entry-0", "entry-1", "entry-2"}
	dir := t.TempDir()

	if err := keys.WriteDeployment(dir, names, time.Now()); err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(t.Context())
	nodesCtx, stopNodes := context.WithCancel(t.Context())
	groupsDone, nodesDone := make(chan error, size), make(chan error, size)

	var groups []*Group

	for _, name := range names {
		g := newTLSGroup(t, dir, name)
		if len(groups) > 0 {
			g.Seeds = []string{groups[0].Node.Advertise}
		}

		if err := g.Register(); err != nil {
			t.Fatal(err)
		}

		groups = append(groups, g)

		go func() { nodesDone <- g.Node.Run(nodesCtx) }()
		go func() { groupsDone <- g.Run(ctx) }()
	}

	for _, g := range groups {
		await(t, g, "members", func(v *View) bool { return len(v.Usable()) == size })
	}

	cancel()

	for range size {
		if err := <-groupsDone; err != nil {
			t.Errorf("run of a group: got %v, want nil", err)
		}
	}

	stopNodes()

	for range size {
		if err := <-nodesDone; err != nil {
			t.Errorf("run of a node: got %v, want nil", err)
		}
	}
}

func newTLSGroup(t *testing.T, dir, name string) *Group {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	files := keys.Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}

	config, err := files.TLS(clock.System{})
	if err != nil {
		t.Fatal(err)
	}

	return &Group{
		Node: &peer.Node{
			ID: fleet.InstanceID(name), Incarnation: 1, Domain: "d", Deployment: "kronvig",
			Listener: listener, Advertise: listener.Addr().String(), TLS: config, Clock: clock.System{},
		},
		Clock:  clock.System{},
		Region: "r",
	}
}
