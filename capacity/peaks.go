package capacity

import "time"

// peaks holds the numbers of wanted servers of late as far as a later one is not as
// high. Its numbers fall, its times rise.
type peaks struct {
	entries []peak
}

type peak struct {
	wanted int
	at     time.Time
}

func (p *peaks) empty() bool { return len(p.entries) == 0 }

func (p *peaks) add(now time.Time, wanted int) {
	n := len(p.entries)
	for n > 0 && p.entries[n-1].wanted <= wanted {
		n--
	}

	p.entries = append(p.entries[:n], peak{wanted: wanted, at: now})
}

// highest returns the highest number within a span of at most the memory.
func (p *peaks) highest(now time.Time, window time.Duration) int {
	for len(p.entries) > 0 && now.Sub(p.entries[0].at) >= peakWindow {
		p.entries = p.entries[1:]
	}

	for _, entry := range p.entries {
		if now.Sub(entry.at) < window {
			return entry.wanted
		}
	}

	return 0
}
