package quota

import "time"

// history is a sum that grows, with the times of its last steps.
type history struct {
	total      float64
	increments []increment
}

type increment struct {
	at     time.Time
	amount float64
}

// mergeInterval bounds the memory of steps: those that are this close count as one,
// at the time of the later one.
const mergeInterval = 50 * time.Millisecond

func (h *history) add(now time.Time, amount float64) {
	if amount == 0 {
		return
	}

	h.total += amount

	// Steps are in the order of their times. A time that goes back counts as the newest.
	if n := len(h.increments); n > 0 && now.Before(h.increments[n-1].at) {
		now = h.increments[n-1].at
	}

	if n := len(h.increments); n > 0 && now.Sub(h.increments[n-1].at) < mergeInterval {
		h.increments[n-1].amount += amount
		h.increments[n-1].at = now

		return
	}

	h.increments = append(h.increments, increment{at: now, amount: amount})
}

// raiseTo brings the sum up to a total.
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

// buckets divides what was added within a window by age, the oldest part first.
func (h *history) buckets(now time.Time, window time.Duration) []uint32 {
	parts := make([]uint32, ageBuckets)

	for i := len(h.increments) - 1; i >= 0; i-- {
		age := now.Sub(h.increments[i].at)
		if age >= window {
			break
		}

		part := ageBuckets - 1 - int(max(age, 0)*ageBuckets/window)
		parts[part] += uint32(h.increments[i].amount)
	}

	return parts
}

// trim forgets the steps up to t.
func (h *history) trim(t time.Time) {
	n := 0
	for n < len(h.increments) && !h.increments[n].at.After(t) {
		n++
	}

	h.increments = h.increments[n:]
}

func (h *history) empty() bool { return len(h.increments) == 0 }
