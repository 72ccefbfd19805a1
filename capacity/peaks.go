package capacity

import "time"

// peaks holds the recent numbers of wanted servers that no later one has reached. Its entries
// are in order of falling numbers and rising times.
type peaks struct {
	entries []peak
}

type peak struct {
	wanted int
	bound  Bound
	at     time.Time
}

func (p *peaks) empty() bool { return len(p.entries) == 0 }

func (p *peaks) add(now time.Time, wanted int, bound Bound) {
	n := len(p.entries)
	for n > 0 && p.entries[n-1].wanted <= wanted {
		n--
	}

	p.entries = append(p.entries[:n], peak{wanted: wanted, bound: bound, at: now})
}

// highest returns the highest number within a window, which is at most peakWindow.
func (p *peaks) highest(now time.Time, window time.Duration) int {
	return p.highestPeak(now, window).wanted
}

// highestPeak returns the highest peak within a window, which is at most peakWindow, or the zero
// value if there is none.
func (p *peaks) highestPeak(now time.Time, window time.Duration) peak {
	for len(p.entries) > 0 && now.Sub(p.entries[0].at) >= peakWindow {
		p.entries = p.entries[1:]
	}

	for _, entry := range p.entries {
		if now.Sub(entry.at) < window {
			return entry
		}
	}

	return peak{}
}
