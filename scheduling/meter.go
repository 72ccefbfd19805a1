package scheduling

import (
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

const (
	// arrivalWindow is the time over which arriving work is averaged.
	arrivalWindow = 4 * time.Second
	// speedSamples is how many answers the speed of servers is read from.
	speedSamples = 48
	// speedQuantile is the part of the samples that are slower than the speed that
	// counts: most prompts wait for others, and only those that do not show it.
	speedQuantile = 0.8
	// speedHalfLife is the time in which a speed that is not seen again counts half.
	speedHalfLife = 90 * time.Second
	// minSpeedTokens is the least work that shows a speed; below it fixed times count, and
	// the few samples that make the first speed.
	minSpeedTokens = 1500
	// minReadTokens is the least work, all that waited included, that shows a rate of reading.
	minReadTokens = 6000
	minSamples    = 4
)

// Work is what arrives at a service and what its servers can do, in tokens of
// prompts a second. Only the tokens of the request itself count in both: whether a
// server has to read the shared parts is known to no single instance.
type Work struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Arriving float64
	Speed    float64
}

// samples are the newest of some numbers.
type samples struct {
	values []float64
	next   int
}

func (s *samples) add(x float64) {
	if len(s.values) < speedSamples {
		s.values = append(s.values, x)

		return
	}

	s.values[s.next] = x
	s.next = (s.next + 1) % speedSamples
}

// quantile returns the number below which a part of the others lies, and whether there are
// enough of them.
func (s *samples) quantile(q float64) (float64, bool) {
	n := len(s.values)
	if n < minSamples {
		return 0, false
	}

	return slices.Sorted(slices.Values(s.values))[min(int(float64(n)*q), n-1)], true
}

// meter measures one service.
type meter struct {
	mu          sync.Mutex
	arrivalRate float64
	decayedAt   time.Time
	// speeds are those at which servers read prompts of some size, waiting included, and
	// readRates those at which they read what waited there; both in tokens a second.
	speeds, readRates samples
	// maxSpeed is the highest maxSpeed of late.
	maxSpeed   float64
	maxSpeedAt time.Time
}

// addArrival counts work.
func (m *meter) addArrival(now time.Time, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayArrivals(now)
	m.arrivalRate += float64(tokens) / arrivalWindow.Seconds()
}

func (m *meter) decayArrivals(now time.Time) {
	if !m.decayedAt.IsZero() {
		m.arrivalRate *= math.Exp(-float64(now.Sub(m.decayedAt)) / float64(arrivalWindow))
	}

	m.decayedAt = now
}

// recordSpeed takes in how long a server took to recordSpeed a prompt, waiting included. tokens are
// those that no server can have recordSpeed before: what other instances sent there is not
// known here, and counting it would make a server with a good cache look fast.
func (m *meter) recordSpeed(tokens int, took time.Duration) {
	if tokens < minSpeedTokens || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.speeds.add(float64(tokens) / took.Seconds())
}

// recordReadRate takes in how long a server took to read a prompt and what waited before it.
func (m *meter) recordReadRate(tokens int64, took time.Duration) {
	if tokens < minReadTokens || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.readRates.add(float64(tokens) / took.Seconds())
}

// medianReadRate returns the rate at which servers read, as the middle one of late, or zero
// while it is not known.
func (m *meter) medianReadRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	median, _ := m.readRates.quantile(0.5)

	return median
}

func (m *meter) work(now time.Time, service fleet.Service) Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayArrivals(now)

	work := Work{Service: service, Arriving: m.arrivalRate}

	work.Speed = m.idleSpeed(now)

	return work
}

// idleSpeed returns the speed of an idle server. It fades slowly: servers that are
// overloaded show less, and must not be taken for slow ones.
func (m *meter) idleSpeed(now time.Time) float64 {
	if !m.maxSpeedAt.IsZero() {
		m.maxSpeed *= math.Exp2(-float64(now.Sub(m.maxSpeedAt)) / float64(speedHalfLife))
	}

	m.maxSpeedAt = now

	if speed, ok := m.speeds.quantile(speedQuantile); ok {
		m.maxSpeed = max(m.maxSpeed, speed)
	}

	return m.maxSpeed
}

// Work returns what this instance measured of each service.
func (s *Scheduler) Work(now time.Time) []Work {
	s.mu.Lock()
	defer s.mu.Unlock()

	work := make([]Work, 0, len(s.meters))
	for service, m := range s.meters {
		work = append(work, m.work(now, service))
	}

	return work
}

// meter returns the meter of a service.
func (s *Scheduler) meter(service fleet.Service) *meter {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.meters == nil {
		s.meters = make(map[fleet.Service]*meter)
	}

	m := s.meters[service]
	if m == nil {
		m = &meter{}
		s.meters[service] = m
	}

	return m
}
