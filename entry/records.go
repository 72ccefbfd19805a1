package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/board"
	"monsoonlever/scheduling"
)

// announceTimeout bounds the write of the last record of a stopping instance.
const announceTimeout = 500 * time.Millisecond

// makeRecord returns this instance's next record on the board.
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
		Parts:             p.parts.StoredReports(now),
	}

	if p.isLeader() {
		r.Work = p.totalArrivals(now)
		r.ReadLoads = scheduling.ReadLoads(r.Work)
		r.Rollouts = p.rollouts.gate.States()
	}

	p.duties.addToRecord(now, &r)

	return r
}

// recordWritten is called once a record of this instance is durable.
func (p *components) recordWritten(r board.Record) {
	if r.GlobalConsumption == nil {
		return
	}

	p.ownRecordAt.Store(r.Clock)
	p.limits.Recorded(time.Unix(0, r.Clock))
}

// ownRecordAge returns the age of this instance's newest durable record of the consumption of all
// instances, or zero if it has written none.
func (p *components) ownRecordAge(now time.Time) time.Duration {
	at := p.ownRecordAt.Load()
	if at == 0 {
		return 0
	}

	return max(now.Sub(time.Unix(0, at)), time.Nanosecond)
}

// receiveRecord applies the record of any instance. Records arrive in the order of the log.
func (p *components) receiveRecord(now time.Time, r board.Record) {
	p.members.ReceiveRecord(now, r)

	if r.Leaving {
		p.links.PeerStopped(r.Instance)
	} else {
		p.links.RecordRead(r.Instance)
	}

	p.receiveRecordedConsumption(now, r)
	// All instances that use the board read it, so losses are not forwarded.
	p.quarantine.Merge(now, r.Losses, false)
	p.parts.MergeRecorded(now, time.Unix(0, r.Clock), r.Parts)
	p.duties.receiveRecord(now, r)

	for _, s := range r.Rollouts {
		p.rollouts.gate.Apply(now, s, time.Time{})
	}
}

// receiveRecordedConsumption applies the consumption of other instances, and of earlier processes
// of this one.
func (p *components) receiveRecordedConsumption(now time.Time, r board.Record) {
	switch {
	case p.earlierRecords != nil:
		p.earlierRecords.Add(r.Instance, r.Incarnation, time.Unix(0, r.Clock), r.Consumption, r.GlobalConsumption)
	case r.Instance != p.self():
		p.limits.Receive(now, r.Instance, r.Incarnation, r.Consumption)
	}
}

// boardCaughtUp is called when the board has been read to its end.
func (p *components) boardCaughtUp(now time.Time) {
	if p.earlierRecords != nil {
		p.limits.Restore(now, p.startedAt, p.earlierRecords)
		p.earlierRecords = nil

		klog.InfoS("reports on parts of prompts were read from the board", "suspected", p.parts.SuspectCount(), "held", p.parts.HeldCount())
	}

	for _, gone := range p.members.Expire(now, memberTimeout) {
		klog.InfoS("silent entry instance was removed", "instance", gone)
	}

	p.setLimitMembers(now)
	p.limits.MarkSynced(now)
	p.evidence.known.Store(true)
	p.splitBudgets()
	p.duties.caughtUp(now)
}

// announceStop records on the board that this instance stops.
func (p *components) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()

	now := p.clock.Now()
	consumption, globalConsumption := p.limits.Record(now)
	r := board.Record{
		Instance: p.self(), Incarnation: p.duties.incarnation, Clock: now.UnixNano(), Leaving: true, Era: p.store.Era(),
		Consumption: consumption, GlobalConsumption: globalConsumption, Usage: p.counter.Recent(), Losses: p.quarantine.StoredLosses(now),
		Parts: p.parts.StoredReports(now),
	}
	p.duties.addRelease(now, &r)

	if err := p.board.AppendFinal(ctx, r); err != nil {
		klog.InfoS("stop was not recorded on the board", "err", err.Error())
	}
}
