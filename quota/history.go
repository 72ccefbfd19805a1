package quota

import "time"

// history is a sum that grows, with the times of its last steps.
type history struct {
	total float64
	steps []step
}

type step struct {
	at     time.Time
	amount float64
}

// joinSteps bounds the memory of steps: those that are this close count as one,
// at the time of the later one.
const joinSteps = 50 * time.Millisecond

func (h *history) add(now time.Time, amount float64) {
	if amount == 0 {
		return
	}

	h.total += amount

	// Steps are in the order of their times. A time that goes back counts as the newest.
	if n := len(h.steps); n > 0 && now.Before(h.steps[n-1].at) {
		now = h.steps[n-1].at
	}

	if n := len(h.steps); n > 0 && now.Sub(h.steps[n-1].at) < joinSteps {
		h.steps[n-1].amount += amount
		h.steps[n-1].at = now

		return
	}

	h.steps = append(h.steps, step{at: now, amount: amount})
}

// raise brings the sum up to a total.
func (h *history) raise(now time.Time, total float64) {
	if total > h.total {
		h.add(now, total-h.total)
	}
}

// since returns what was added after t.
func (h *history) since(t time.Time) float64 {
	sum := 0.0

	for i := len(h.steps) - 1; i >= 0 && h.steps[i].at.After(t); i-- {
		sum += h.steps[i].amount
	}

	return sum
}

// ages divides what was added within a window by age, the oldest part first.
func (h *history) ages(now time.Time, window time.Duration) []uint32 {
	parts := make([]uint32, ages)

	for i := len(h.steps) - 1; i >= 0; i-- {
		age := now.Sub(h.steps[i].at)
		if age >= window {
			break
		}

		part := ages - 1 - int(max(age, 0)*ages/window)
		parts[part] += uint32(h.steps[i].amount)
	}

	return parts
}

// trim forgets the steps up to t.
func (h *history) trim(t time.Time) {
	n := 0
	for n < len(h.steps) && !h.steps[n].at.After(t) {
		n++
	}

	h.steps = h.steps[n:]
}

func (h *history) empty() bool { return len(h.steps) == 0 }
