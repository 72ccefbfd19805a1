package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/replica"
	"monsoonlever/topology"
)

// rejectingSource is a store that serves one snapshot and rejects all reads after it.
type rejectingSource struct {
	snapshot feed.Entry
}

func (s *rejectingSource) Snapshot(context.Context) ([]feed.Entry, feed.Position, error) {
	return []feed.Entry{s.snapshot}, s.snapshot.At + 1, nil
}

func (s *rejectingSource) Changes(context.Context, feed.Position, time.Duration) (feed.Changes, error) {
	return feed.Changes{}, errors.New("rejected")
}

// directoryEntry returns a directory as the store holds it.
func directoryEntry(t *testing.T, d directory.Directory, offset uint64) feed.Entry {
	t.Helper()

	data, err := d.Marshal()
	if err != nil {
		t.Fatal(err)
	}

	return feed.Entry{Key: "relays", Data: data, At: feed.PositionOf(1, offset)}
}

// serveDirectory serves a log of the directory to other instances and returns the address.
func serveDirectory(t *testing.T, log *replica.Log) netip.AddrPort {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(t.Context())
	server := &replica.Server{Clock: log.Clock, Feeds: map[string]*replica.Log{feedDirectory: log}}

	var serving sync.WaitGroup

	serving.Go(func() { server.Run(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})

	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against instances that follow old rules although the store serves them. The store rejects
// their relay, which keeps the directory from before relays were named, or from before a leader
// became needless: it reads the store in vain and goes on to serve a log that gets nothing new.
func TestRejectedInstanceReadsDirectoryFromLeader(t *testing.T) {
	const (
		// applyTimeout is what the operators allow until a change is in force.
		applyTimeout      = 2 * time.Second
		heartbeatInterval = 150 * time.Millisecond
	)

	tests := []struct {
		desc    string
		grows   bool
		leaders []fleet.InstanceID
	}{
		{desc: "instances were added, a relay", grows: true, leaders: []fleet.InstanceID{"entry-2"}},
		{desc: "instances were removed, a leader", leaders: []fleet.InstanceID{"entry-1", "entry-2"}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			clk := clock.NewSteady()
			log := &replica.Log{Clock: clk}
			address := serveDirectory(t, log)
			relayed := directory.Directory{Count: topology.FullMeshMax + 1, Relays: []topology.Member{
				{ID: "entry-1", Domain: "a", Address: netip.MustParseAddrPort("127.0.0.1:7600")},
				{ID: "entry-2", Domain: "b", Address: address},
			}}

			old, next := relayed, directory.Directory{Count: 9}
			if tt.grows {
				old, next = next, old
			}

			before, after := directoryEntry(t, old, 0), directoryEntry(t, next, 1)
			log.Replace([]feed.Entry{before}, before.At+1)
			log.Append([]feed.Entry{after}, after.At+1)

			p := newMeshInstance("entry-1", clk)
			p.plan.Store(&topology.Plan{Relay: true, Leaders: tt.leaders, InstanceCount: relayed.Count})

			source, ok := p.directoryFeed.Source.(*replica.Source)
			if !ok {
				t.Fatalf("source of the directory: got %T, want one that reads other instances", p.directoryFeed.Source)
			}

			source.Origin = &rejectingSource{snapshot: before}
			leader := heartbeat{
				Instance: "entry-2", Address: address.String(), Relation: topology.BetweenRelays,
				InstanceCount: next.Count, DirectoryEnd: after.At + 1, ConfirmedAgo: 0, RegisterAgo: -1,
			}

			ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)

			var reader sync.WaitGroup

			reader.Go(func() { p.directoryFeed.Run(ctx) })

			defer reader.Wait()
			defer cancel()

			inForce := func() bool {
				view := p.directory.Load()

				return view != nil && view.FullMesh() == next.FullMesh()
			}

			for ctx.Err() == nil && !inForce() {
				clock.Sleep(ctx, clk, heartbeatInterval)

				leader.Echo = p.stamps.at(clk.Now())
				p.receiveHeartbeat(clk.Now(), netip.AddrPort{}, leader)
			}

			if !inForce() {
				t.Fatalf("directory with %d instances is in force within %v: got false, want true", next.Count, applyTimeout)
			}

			if got, want := p.upstream().Origin, next.FullMesh(); got != want {
				t.Errorf("rules are read from the store: got %v, want %v", got, want)
			}
		})
	}
}
