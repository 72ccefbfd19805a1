package quarantine

import "time"

const (
	// maxRecentParts bounds the parts whose begins are remembered, to some 0.7 MB of memory, and
	// recentPerPart the begins of each.
	maxRecentParts = 4096
	recentPerPart  = 4
	// recentTTL is how long a begin is remembered: reports of crashes are not older.
	recentTTL = time.Minute
)

// recentBegins are the newest answers that began at this instance, by part. Those that began after
// a crash count even though they began before the crash became known here. The zero value is empty.
type recentBegins struct {
	parts map[PartKey]*partBegins
}

type partBegins struct {
	newest [recentPerPart]recentBegin
	count  int
}

type recentBegin struct {
	event uint64
	at    time.Time
}

func (b *partBegins) last() time.Time { return b.newest[(b.count-1)%recentPerPart].at }

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

	known.newest[known.count%recentPerPart] = recentBegin{event: event, at: now}
	known.count++
}

// after returns the newest begins of a part after a time.
func (r *recentBegins) after(t time.Time, part PartKey) []recentBegin {
	known := r.parts[part]
	if known == nil {
		return nil
	}

	var begins []recentBegin

	for _, b := range known.newest[:min(known.count, recentPerPart)] {
		if b.at.After(t) {
			begins = append(begins, b)
		}
	}

	return begins
}

// makeRoom removes old entries, or any where none is old.
func (r *recentBegins) makeRoom(now time.Time) {
	if len(r.parts) < maxRecentParts {
		return
	}

	removed := 0

	for part, known := range r.parts {
		if now.Sub(known.last()) > recentTTL || removed < maxRecentParts/evictionDivisor {
			delete(r.parts, part)

			removed++
		}
	}
}
