package quota

import "time"

// history is a growing total with the times of its recent increments.
type history struct {
	total      float64
	increments []increment
}

// increment is what was added from a time on until at.
type increment struct {
	from, at time.Time
	amount   float64
}

// mergeInterval bounds the memory of a history: increments within it are merged, at the time of the
// latest one.
const mergeInterval = 50 * time.Millisecond

func (h *history) add(now time.Time, amount float64) {
	if amount == 0 {
		return
	}

	h.total += amount

	// Increments are in the order of their times. An earlier time is replaced by that of the
	// newest increment.
	if n := len(h.increments); n > 0 && now.Before(h.increments[n-1].at) {
		now = h.increments[n-1].at
	}

	if n := len(h.increments); n > 0 && now.Sub(h.increments[n-1].from) < mergeInterval {
		h.increments[n-1].amount += amount
		h.increments[n-1].at = now

		return
	}

	h.increments = append(h.increments, increment{from: now, at: now, amount: amount})
}

// raiseTo raises the total to a value. A lower value is ignored.
func (h *history) raiseTo(now time.Time, total float64) {
	if total > h.total {
		h.add(now, total-h.total)
	}
}

// since returns what was added after t.
func (h *history) since(t time.Time) float64 {
	sum := 0.0

	for i := len(h.increments) - 1; i >= 0 && h.increments[i].at.After(t); i-- {
		sum += h.increments[i].amount
	}

	return sum
}

// buckets divides what was added within a window by age, the oldest bucket first.
func (h *history) buckets(now time.Time, window time.Duration) []uint32 {
	counts := make([]uint32, ageBuckets)

	for i := len(h.increments) - 1; i >= 0; i-- {
		age := now.Sub(h.increments[i].at)
		if age >= window {
			break
		}

		bucket := ageBuckets - 1 - int(max(age, 0)*ageBuckets/window)
		counts[bucket] += uint32(h.increments[i].amount)
	}

	return counts
}

// trim removes the increments up to t and keeps the total.
func (h *history) trim(t time.Time) {
	n := 0
	for n < len(h.increments) && !h.increments[n].at.After(t) {
		n++
	}

	h.increments = h.increments[n:]
}

func (h *history) empty() bool { return len(h.increments) == 0 }
