package standin

import "math/rand/v2"

// lottery decides which answers are lost.
type lottery struct {
	count       int
	probability float64
	random      *rand.Rand
}

func newLottery(o FaultOrder) lottery {
	if o.Probability > 0 {
		return lottery{probability: o.Probability, random: rand.New(rand.NewPCG(o.Seed, 0))}
	}

	return lottery{count: max(o.Count, 1)}
}

func (l *lottery) draw() bool {
	if l.random != nil {
		return l.random.Float64() < l.probability
	}

	if l.count == 0 {
		return false
	}

	l.count--

	return true
}
