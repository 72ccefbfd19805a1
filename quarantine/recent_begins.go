package quarantine

import "time"

const (
	// maxRecentParts bounds the parts whose begins are remembered, to some 0.5 MB of memory, and
	// recentPerPart the begins of each.
	maxRecentParts = 4096
	recentPerPart  = 4
	// recentTTL is how long a begin is remembered.
	recentTTL = time.Minute
)

// recentBegins are the newest answers that began at this instance, by part, which clear a part as
// soon as it becomes a suspect. The zero value is empty.
type recentBegins struct {
	parts map[PartKey]*partBegins
}

type partBegins struct {
	events [recentPerPart]uint64
	count  int
	last   time.Time
}

func (r *recentBegins) add(now time.Time, part PartKey, event uint64) {
	if r.parts == nil {
		r.parts = make(map[PartKey]*partBegins)
	}

	known := r.parts[part]
	if known == nil {
		r.makeRoom(now)

		known = &partBegins{}
		r.parts[part] = known
	}

	known.events[known.count%recentPerPart] = event
	known.count++
	known.last = now
}

func (r *recentBegins) of(now time.Time, part PartKey) []uint64 {
	known := r.parts[part]
	if known == nil || now.Sub(known.last) > recentTTL {
		return nil
	}

	return known.events[:min(known.count, recentPerPart)]
}

// makeRoom removes old entries, or any where none is old.
func (r *recentBegins) makeRoom(now time.Time) {
	if len(r.parts) < maxRecentParts {
		return
	}

	removed := 0

	for part, known := range r.parts {
		if now.Sub(known.last) > recentTTL || removed < maxRecentParts/evictionDivisor {
			delete(r.parts, part)

			removed++
		}
	}
}
