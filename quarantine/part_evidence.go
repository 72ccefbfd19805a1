package quarantine

import "slices"

// PartEvidence is what is known of a part at which servers crashed.
type PartEvidence struct {
	Part PartKey
	// Crashes and Begins are the servers that crashed and the answers that began.
	Crashes, Begins int
	// Moments are the different moments of these crashes.
	Moments int
	// Held reports whether the part is held off, alone or with others.
	Held bool
}

// SuspectCount returns the number of parts that stood at the begin of an answer when a server crashed.
func (p *Parts) SuspectCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.suspects)
}

// Suspected reports whether servers crashed at the begin of answers on one of some parts, and few have begun
// since.
func (p *Parts) Suspected(parts []PartKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.ContainsFunc(parts, func(part PartKey) bool {
		s := p.suspects[part]

		return s != nil && s.suspected()
	})
}

// reportCrashes reports the evidence of parts at which a server crashed again.
func (p *Parts) reportCrashes(parts []PartKey) {
	if p.OnCrash == nil {
		return
	}

	for _, part := range parts {
		if s := p.suspects[part]; s != nil && s.crashes >= minPartCrashes {
			p.OnCrash(PartEvidence{Part: part, Crashes: s.crashes, Begins: s.begins, Moments: s.whole().moments, Held: p.inHeldGroup(part)})
		}
	}
}

func (p *Parts) inHeldGroup(part PartKey) bool {
	groups := p.held.Load()

	return groups != nil && slices.ContainsFunc(*groups, func(group []PartKey) bool { return slices.Contains(group, part) })
}
