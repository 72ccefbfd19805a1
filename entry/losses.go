package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/quarantine"
)

// publishLosses tells the others, at once, which backend servers ended under which requests. A
// request that ends servers may come at any instance next. Each loss is told a few times at
// the pace of other news; relays pass on what is news to them.
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
		for _, part := range packLosses(losses) {
			p.sendAll(peers, datagram{Losses: part})
		}

		clock.Sleep(ctx, p.clock, max(time.Duration(len(peers))*sendIntervalPerPeer, minSendInterval))
	}
}

func packLosses(losses []quarantine.Loss) [][]quarantine.Loss {
	return pack(losses, func(quarantine.Loss) int { return quarantine.MaxLossBytes })
}

// receiveLosses takes in what another instance tells.
func (p *components) receiveLosses(now time.Time, losses []quarantine.Loss) {
	plan := p.plan.Load()
	p.quarantine.Merge(now, losses, plan.Relay && !plan.FullMesh)
}

// quarantineStarted asks for a record soon where a request is held off from now on, so that it
// stays so if all instances are lost: those that lead write it for all.
func (p *components) quarantineStarted() {
	if p.isLeader() {
		p.board.Wake()
	}
}
