package capacity

import "time"

// peaks holds the numbers of wanted servers of late as far as a later one is not as
// high. Its numbers fall, its times rise.
type peaks struct {
	steps []peak
}

type peak struct {
	wanted int
	at     time.Time
}

func (p *peaks) empty() bool { return len(p.steps) == 0 }

func (p *peaks) add(now time.Time, wanted int) {
	n := len(p.steps)
	for n > 0 && p.steps[n-1].wanted <= wanted {
		n--
	}

	p.steps = append(p.steps[:n], peak{wanted: wanted, at: now})
}

// highest returns the highest number within a span of at most the memory.
func (p *peaks) highest(now time.Time, span time.Duration) int {
	for len(p.steps) > 0 && now.Sub(p.steps[0].at) >= memory {
		p.steps = p.steps[1:]
	}

	for _, step := range p.steps {
		if now.Sub(step.at) < span {
			return step.wanted
		}
	}

	return 0
}
