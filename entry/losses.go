package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/quarantine"
)

// publishLosses sends the other instances, without delay, which backend servers crashed during
// which requests, since a request that crashes servers may reach any instance next. Each loss is
// sent a few times, at the pace of other updates. Relays forward losses that are new to them.
func (p *components) publishLosses(ctx context.Context) {
	for ctx.Err() == nil {
		losses := p.quarantine.PendingLosses(p.clock.Now())
		if len(losses) == 0 {
			select {
			case <-p.quarantine.Ready():
			case <-ctx.Done():
			}

			continue
		}

		peers := addressesOf(p.plan.Load().Peers())
		for _, batch := range packLosses(losses) {
			p.sendAll(peers, datagram{Losses: batch})
		}

		clock.Sleep(ctx, p.clock, max(time.Duration(len(peers))*sendIntervalPerPeer, minSendInterval))
	}
}

func packLosses(losses []quarantine.Loss) [][]quarantine.Loss {
	return pack(losses, func(quarantine.Loss) int { return quarantine.MaxLossBytes })
}

// receiveLosses records losses that another instance reports.
func (p *components) receiveLosses(now time.Time, losses []quarantine.Loss) {
	plan := p.plan.Load()
	p.quarantine.Merge(now, losses, plan.Relay && !plan.FullMesh)
}

// quarantineStarted requests a record on the board when a request is quarantined, so that the
// quarantine survives a loss of all instances. Leaders write the record for all.
func (p *components) quarantineStarted() {
	if p.isLeader() {
		p.board.Wake()
	}
}
