package entry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"monsoonlever/board"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/resumption"
	"monsoonlever/topology"
)

// newStreams returns the tracker of the server versions that began streams.
func newStreams(p *components) *resumption.Tracker {
	return &resumption.Tracker{
		Clock: p.clock, Self: p.self(), Holders: p.streamHolders, Counters: resumption.NewCounters(p.metrics),
		Send: func(to fleet.InstanceID, records []resumption.Record) {
			for _, batch := range pack(records, resumption.Record.Bytes) {
				p.sendDatagram(to, datagram{Streams: batch})
			}
		},
		Ask:        func(to fleet.InstanceID, query resumption.Query) { p.sendDatagram(to, datagram{StreamQuery: &query}) },
		Recorder:   &resumption.Recorder{Clock: p.clock, Log: p.store.Streams(), SeveralVersions: newVersionWatch(p)},
		RecorderID: p.streamRecorder, Restores: p.mayHoldStreams,
		Forward: func(to fleet.InstanceID, records []resumption.Record) {
			for _, batch := range pack(records, resumption.Record.Bytes) {
				p.sendDatagram(to, datagram{RecordStreams: batch})
			}
		},
	}
}

// severalVersionsTTL is how long after a version has left its streams may still be resumed.
const severalVersionsTTL = time.Minute

// newVersionWatch returns a function that reports whether servers of several versions of a service are
// registered, or were within severalVersionsTTL. One goroutine calls it.
func newVersionWatch(p *components) func() bool {
	var seenAt time.Time

	return func() bool {
		now, versions := p.clock.Now(), make(map[fleet.Service]fleet.Version)

		for _, s := range p.register.Servers() {
			if v, known := versions[s.Service]; known && v != s.Version {
				seenAt = now

				break
			}

			versions[s.Service] = s.Version
		}

		return !seenAt.IsZero() && now.Sub(seenAt) < severalVersionsTTL
	}
}

// streamRecorder returns the instance that writes records of streams to the store for all, or an empty
// ID if none is known: the first of the leaders.
func (p *components) streamRecorder() fleet.InstanceID {
	if leaders := p.plan.Load().Leaders; len(leaders) > 0 {
		return leaders[0]
	}

	return ""
}

// mayHoldStreams reports whether others may ask this instance where streams began. While no directory
// is known, nobody can tell.
func (p *components) mayHoldStreams() bool {
	view := p.directory.Load()

	return view == nil || view.FullMesh() || view.HasRelay(p.self())
}

// restoreStreams reads the records of streams from the store, once this instance may hold some.
func (p *components) restoreStreams(ctx context.Context) {
	for p.directory.Load() == nil || !p.mayHoldStreams() {
		select {
		case <-p.directoryChanged.C():
		case <-ctx.Done():
			return
		}
	}

	p.streams.Recorder.Restore(ctx, p.streams)
}

// streamHolders returns the instances that remember streams of a request: of few instances all may,
// of many the relays that the directory names.
func (p *components) streamHolders(content quarantine.Fingerprint) []fleet.InstanceID {
	var members []topology.Member

	if view := p.directory.Load(); view != nil && !view.FullMesh() {
		members = slices.Clone(view.Relays)
	} else {
		s := p.settings
		members = append(p.members.All(), board.MemberOf(s.Instance, s.FailureDomain, s.Listen.Peers, s.Limits.ProcessorCores))
	}

	seen := make(map[fleet.InstanceID]bool, len(members))
	members = slices.DeleteFunc(members, func(m topology.Member) bool {
		repeated := seen[m.ID]
		seen[m.ID] = true

		return repeated || m.ID == p.self() && p.stopping.Load()
	})

	return topology.Holders(uint64(content), members, resumption.MaxHolders)
}

// receiveStreamMessage handles records of other instances, queries and replies.
func (p *components) receiveStreamMessage(from netip.AddrPort, d *datagram) {
	p.streams.Receive(d.Streams)

	if len(d.RecordStreams) > 0 {
		p.streams.Recorder.Add(d.RecordStreams)
	}

	if d.StreamQuery != nil {
		reply := p.streams.HandleQuery(*d.StreamQuery)
		p.sendAll(map[fleet.InstanceID]netip.AddrPort{d.StreamQuery.From: from}, datagram{StreamReply: &reply})
	}

	if d.StreamReply != nil {
		p.streams.HandleReply(*d.StreamReply)
	}
}
