package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/quarantine"
)

// publishLosses sends the other instances, without delay, which backend servers crashed during
// which requests, since a request that crashes servers may reach any instance next. Each loss is
// sent a few times, at the pace of other updates. Relays forward losses that are new to them.
func (p *components) publishLosses(ctx context.Context) {
	p.publishToPeers(ctx, p.quarantine.Ready(), func(now time.Time) []datagram {
		var messages []datagram
		for _, batch := range packLosses(p.quarantine.PendingLosses(now)) {
			messages = append(messages, datagram{Losses: batch})
		}

		return messages
	})
}

// publishParts sends the other instances in the same way which parts of prompts stood at the begin
// of an answer when a server crashed, and which of these began answers.
func (p *components) publishParts(ctx context.Context) {
	p.publishToPeers(ctx, p.parts.Ready(), func(now time.Time) []datagram {
		var messages []datagram
		for _, batch := range packParts(p.parts.PendingReports(now)) {
			messages = append(messages, datagram{Parts: batch})
		}

		return messages
	})
}

// publishToPeers sends the pending messages to all peers, and waits for ready while there are none.
func (p *components) publishToPeers(ctx context.Context, ready <-chan struct{}, pending func(time.Time) []datagram) {
	for ctx.Err() == nil {
		messages := pending(p.clock.Now())
		if len(messages) == 0 {
			select {
			case <-ready:
			case <-ctx.Done():
			}

			continue
		}

		peers := addressesOf(p.plan.Load().Peers())
		for _, message := range messages {
			p.sendAll(peers, message)
		}

		clock.Sleep(ctx, p.clock, max(time.Duration(len(peers))*sendIntervalPerPeer, minSendInterval))
	}
}

func packLosses(losses []quarantine.Loss) [][]quarantine.Loss {
	return pack(losses, func(quarantine.Loss) int { return quarantine.MaxLossBytes })
}

func packParts(reports []quarantine.PartReport) [][]quarantine.PartReport {
	return pack(reports, func(quarantine.PartReport) int { return quarantine.MaxPartReportBytes })
}

// receiveLosses records losses that another instance reports.
func (p *components) receiveLosses(now time.Time, losses []quarantine.Loss) {
	plan := p.plan.Load()
	p.quarantine.Merge(now, losses, plan.Relay && !plan.FullMesh)
}

// recordSoon requests a record on the board when there is more to record of requests and parts that
// crash servers, so that it survives a loss of all instances. Leaders write the record for all.
func (p *components) recordSoon() {
	if p.isLeader() {
		p.board.Wake()
	}
}

// receiveParts records reports on parts of prompts that another instance sends.
func (p *components) receiveParts(now time.Time, reports []quarantine.PartReport) {
	plan := p.plan.Load()
	p.parts.Merge(now, reports, plan.Relay && !plan.FullMesh)
}

// partsHeld logs parts of prompts that become held off, and requests a record on the board.
func (p *components) partsHeld(parts []quarantine.PartKey) {
	keys := make([]string, 0, len(parts))
	for _, part := range parts {
		keys = append(keys, part.String())
	}

	klog.InfoS("requests with parts of prompts that crash backend servers are held off", "parts", keys)
	p.recordSoon()
}

// partCrashed logs what is known of a part at which backend servers crashed several times.
func (p *components) partCrashed(e quarantine.PartEvidence) {
	klog.InfoS("backend servers crash on a part of prompts", "part", e.Part, "crashes", e.Crashes, "begins", e.Begins, "moments", e.Moments, "held", e.Held)
}
