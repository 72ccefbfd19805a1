package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/board"
)

// announceTimeout bounds the last record of an instance that stops.
const announceTimeout = 500 * time.Millisecond

// makeRecord makes this instance's next record for the others.
func (p *components) makeRecord(now time.Time) board.Record {
	consumption, globalConsumption := p.limits.Record(now)
	r := board.Record{
		Instance:          p.self(),
		Incarnation:       p.duties.incarnation,
		Era:               p.store.Era(),
		Clock:             now.UnixNano(),
		Address:           p.settings.Listen.Peers,
		Domain:            p.settings.FailureDomain,
		Cores:             p.settings.Limits.ProcessorCores,
		Leaving:           p.stopping.Load(),
		Consumption:       consumption,
		GlobalConsumption: globalConsumption,
		Usage:             p.counter.Recent(),
		Losses:            p.quarantine.StoredLosses(now),
	}

	if p.isLeader() {
		r.Work = p.totalArrivals(now)
		r.Rollouts = p.rollouts.gate.States()
	}

	p.duties.addToRecord(now, &r)

	return r
}

// receiveRecord takes the record of any instance in, in the order of the log.
func (p *components) receiveRecord(now time.Time, r board.Record) {
	p.members.ReceiveRecord(now, r)

	if r.Leaving {
		p.links.PeerStopped(r.Instance)
	} else {
		p.links.RecordRead(r.Instance)
	}

	p.receiveRecordedConsumption(now, r)
	// All instances read the board, so that none has to pass its records on.
	p.quarantine.Merge(now, r.Losses, false)
	p.duties.receiveRecord(now, r)

	for _, s := range r.Rollouts {
		p.rollouts.gate.Apply(now, s, time.Time{})
	}
}

// receiveRecordedConsumption takes in what other instances, and earlier runs of this one, have spent.
func (p *components) receiveRecordedConsumption(now time.Time, r board.Record) {
	switch {
	case p.earlierRecords != nil:
		p.earlierRecords.Add(r.Instance, r.Incarnation, time.Unix(0, r.Clock), r.Consumption, r.GlobalConsumption)
	case r.Instance != p.self():
		p.limits.Receive(now, r.Instance, r.Incarnation, r.Consumption)
	}
}

// boardCaughtUp is told that all records were taken in.
func (p *components) boardCaughtUp(now time.Time) {
	if p.earlierRecords != nil {
		p.limits.Restore(now, p.earlierRecords)
		p.earlierRecords = nil
	}

	for _, gone := range p.members.Expire(now, memberTimeout) {
		klog.InfoS("entry instance is silent", "instance", gone)
	}

	p.setLimitMembers(now)
	p.limits.MarkSynced(now)
	p.splitBudgets()
	p.duties.caughtUp(now)
}

// announceStop tells the others that this instance stops.
func (p *components) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()

	now := p.clock.Now()
	consumption, globalConsumption := p.limits.Record(now)
	r := board.Record{
		Instance: p.self(), Incarnation: p.duties.incarnation, Clock: now.UnixNano(), Leaving: true, Era: p.store.Era(),
		Consumption: consumption, GlobalConsumption: globalConsumption, Usage: p.counter.Recent(), Losses: p.quarantine.StoredLosses(now),
	}
	p.duties.addRelease(now, &r)

	if err := p.board.AppendFinal(ctx, r); err != nil {
		klog.InfoS("the others were not told of the stop", "err", err.Error())
	}
}
