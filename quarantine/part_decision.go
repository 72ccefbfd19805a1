package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// heldGroup is a group of parts that requests have to hold all of to be held off.
type heldGroup struct {
	parts []PartKey
	// crashes are those that the group explains.
	crashes []uint64
}

// decision finds the parts that explain the crashes.
type decision struct {
	suspects map[PartKey]*partSuspect
	// candidates are the parts with enough evidence by themselves.
	candidates []candidate
	// byCrash has the suspects that stood at each crash.
	byCrash   map[uint64][]PartKey
	explained map[uint64]bool
	// reduced are the spans of parts some of whose crashes are explained.
	reduced map[PartKey]evidenceSpan
	groups  []heldGroup
	// crashes are the times of all crashes, once they were asked for.
	crashes map[uint64]time.Time
}

type candidate struct {
	part PartKey
	span evidenceSpan
}

// decide determines the parts that are held off: the one for which there is most evidence, then
// the next one for the crashes that the first does not explain, and so on.
//
// A part that many requests have in common stands at the crashes of several harmful ones, and may
// have most evidence. While other parts explain its crashes about as well, it is held off only in
// requests with one of them, so that others go on and tell the explanations apart.
func (p *Parts) decide(now time.Time) {
	d := newDecision(p.suspects, now)

	for len(d.candidates) > 0 {
		group, span := d.strongest()
		d.hold(group, span)
		d.explain(span.crashes)
	}

	p.publish(d.groups)
}

func newDecision(suspects map[PartKey]*partSuspect, now time.Time) *decision {
	d := &decision{suspects: suspects}

	for part, s := range suspects {
		if s.isCurrent(now) && d.conclusive(s, s.whole()) {
			d.candidates = append(d.candidates, candidate{part: part, span: s.whole()})
		}
	}

	if len(d.candidates) == 0 {
		return d
	}

	slices.SortFunc(d.candidates, func(a, b candidate) int { return cmp.Compare(a.part, b.part) })

	d.byCrash, d.explained, d.reduced = make(map[uint64][]PartKey), make(map[uint64]bool), make(map[PartKey]evidenceSpan)

	for part, s := range suspects {
		if !s.isCurrent(now) {
			continue
		}

		for _, e := range s.events {
			if !e.begun {
				d.byCrash[e.id] = append(d.byCrash[e.id], part)
			}
		}
	}

	return d
}

// span returns the evidence of the crashes of a part that are not explained.
func (d *decision) span(part PartKey) evidenceSpan {
	if span, ok := d.reduced[part]; ok {
		return span
	}

	return d.suspects[part].whole()
}

// explain takes crashes out of the evidence of all parts.
func (d *decision) explain(crashes []uint64) {
	affected := make(map[PartKey]struct{})

	for _, event := range crashes {
		d.explained[event] = true

		for _, part := range d.byCrash[event] {
			affected[part] = struct{}{}
		}
	}

	for part := range affected {
		d.reduced[part] = d.suspects[part].span(d.explained)
	}

	left := d.candidates[:0]

	for _, c := range d.candidates {
		if _, ok := affected[c.part]; ok {
			c.span = d.reduced[c.part]
		}

		if d.conclusive(d.suspects[c.part], c.span) {
			left = append(left, c)
		}
	}

	d.candidates = left
}

// strongest returns the candidates for which there is most evidence. Several have the same evidence
// only if they stood at the same crashes.
func (d *decision) strongest() ([]PartKey, evidenceSpan) {
	var (
		group []PartKey
		best  evidenceSpan
	)

	for _, c := range d.candidates {
		switch {
		case c.span.evidence > best.evidence:
			best, group = c.span, []PartKey{c.part}
		case c.span.evidence == best.evidence && sameEvents(c.span.crashes, best.crashes):
			group = append(group, c.part)
		}
	}

	return group, best
}

func sameEvents(a, b []uint64) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(event uint64) bool { return !slices.Contains(b, event) })
}

// hold holds a group of parts off, alone or with each of the parts that explain its crashes as well.
func (d *decision) hold(group []PartKey, span evidenceSpan) {
	others := d.otherExplanation(group, span)
	if len(others) == 0 {
		d.groups = append(d.groups, heldGroup{parts: group, crashes: span.crashes})

		return
	}

	for _, other := range others {
		other.parts = append(other.parts, group...)
		d.groups = append(d.groups, other)
	}
}

// publish puts the parts that are held off in force.
func (p *Parts) publish(groups []heldGroup) {
	p.groups = groups
	held := make([][]PartKey, 0, len(groups))

	for _, group := range groups {
		held = append(held, group.parts)
	}

	before := p.held.Swap(&held)

	if p.OnHeld == nil {
		return
	}

	for i, group := range held {
		if before == nil || !containsGroup(*before, i, group) {
			p.OnHeld(group)
		}
	}
}

// containsGroup reports whether groups contain one, which is most often at the index.
func containsGroup(groups [][]PartKey, index int, group []PartKey) bool {
	return index < len(groups) && slices.Equal(groups[index], group) ||
		slices.ContainsFunc(groups, func(g []PartKey) bool { return slices.Equal(g, group) })
}
