package quarantine

import (
	"maps"
	"slices"
	"time"
)

// decision finds the parts that explain the crashes.
type decision struct {
	suspects  map[PartKey]*partSuspect
	order     []PartKey
	explained map[uint64]bool
	groups    [][]PartKey
}

// decide determines the parts that are held off: the one for which there is most evidence, then
// the next one for the crashes that the first does not explain, and so on.
func (p *Parts) decide(now time.Time) {
	d := decision{suspects: make(map[PartKey]*partSuspect, len(p.suspects)), explained: make(map[uint64]bool)}

	for part, s := range p.suspects {
		if len(s.crashes) > 0 && now.Sub(s.lastCrash) < holdDuration {
			d.suspects[part] = s
		}
	}

	d.order = slices.Sorted(maps.Keys(d.suspects))

	for {
		group, span := d.strongest()
		if len(group) == 0 {
			break
		}

		d.groups = append(d.groups, group)

		for _, event := range span.crashes {
			d.explained[event] = true
		}
	}

	p.publish(d.groups)
}

// strongest returns the parts for which there is most evidence. Several parts have the same evidence
// only if they stood at the same crashes.
func (d *decision) strongest() ([]PartKey, evidenceSpan) {
	var (
		group []PartKey
		best  evidenceSpan
	)

	for _, part := range d.order {
		if len(d.suspects[part].crashes) < minPartCrashes {
			continue
		}

		span := d.suspects[part].span(d.explained)

		switch {
		case !span.conclusive():
		case span.evidence > best.evidence:
			best, group = span, []PartKey{part}
		case span.evidence == best.evidence && sameEvents(span.crashes, best.crashes):
			group = append(group, part)
		}
	}

	return group, best
}

func sameEvents(a, b []uint64) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(event uint64) bool { return !slices.Contains(b, event) })
}

// publish puts the parts that are held off in force.
func (p *Parts) publish(groups [][]PartKey) {
	before := p.held.Swap(&groups)

	if p.OnHeld == nil {
		return
	}

	for _, group := range groups {
		if before == nil || !slices.ContainsFunc(*before, func(g []PartKey) bool { return slices.Equal(g, group) }) {
			p.OnHeld(group)
		}
	}
}
