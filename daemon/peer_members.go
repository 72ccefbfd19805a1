package daemon

import (
	"context"

	"monsoonlever/answer"
	"monsoonlever/fleet"
	"monsoonlever/membership"
)

// watchMembers passes changes of the member list on to what depends on it.
func (p *peers) watchMembers(ctx context.Context) {
	for {
		view := p.group.View()
		p.takeView(view)

		select {
		case <-ctx.Done():
			return
		case <-view.Changed():
		}
	}
}

func (p *peers) takeView(view *membership.View) {
	now := p.clock.Now()
	live := make(map[fleet.InstanceID]fleet.Incarnation)

	var others []answer.Member

	for _, m := range view.Live() {
		if m.ID() == p.node.ID {
			continue
		}

		live[m.ID()] = m.Incarnation()
		others = append(others, answer.Member{
			ID: m.ID(), Incarnation: m.Incarnation(), Domain: m.Domain(), Leaving: !m.Usable(),
		})
		p.admission.AddMember(now, m.ID())
	}

	p.replicator.SetMembers(others)
	p.table.UpdateEntryCount(now, len(others)+1)
	p.forgetGone(view, live)
}

// forgetGone tells of incarnations that are no longer live. One that is only
// thought dead keeps its share of the limits until that has lapsed.
func (p *peers) forgetGone(view *membership.View, live map[fleet.InstanceID]fleet.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, incarnation := range p.members {
		if live[id] == incarnation {
			continue
		}

		p.claims.instanceGone(id, incarnation)

		if m := view.Member(id); m != nil && m.Phase() == membership.Left {
			p.admission.RemoveMember(id)
		}
	}

	p.members = live
}
