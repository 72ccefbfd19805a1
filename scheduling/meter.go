package scheduling

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

const (
	// arrivalWindow is the time over which the arrival rate is averaged.
	arrivalWindow = 4 * time.Second
	// speedSamples is the number of answers from which speeds and read rates are derived.
	speedSamples = 48
	// speedQuantile is the quantile of the samples that is taken as the speed of an idle server.
	// Most prompts wait behind others; only those that don't show the speed.
	speedQuantile = 0.8
	// speedHalfLife is the time in which the maximum speed halves unless it is seen again.
	speedHalfLife = 90 * time.Second
	// minSpeedTokens is the least prompt size that gives a speed sample; fixed delays dominate
	// below it. minSamples is the number of samples from which a quantile is computed.
	minSpeedTokens = 1500
	// minReadTokens is the least number of tokens, backlog included, that gives a sample of the
	// read rate.
	minReadTokens = 6000
	minSamples    = 4
)

// Work is the prompt tokens a second that arrive at a service, and the speed at which one of its
// servers reads them. Both count only the tokens that belong to the request alone: no single
// instance knows whether a server has to read the shared segments.
type Work struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Arriving float64
	Speed    float64
	// ReadRate is the rate in tokens a second at which a server of usual pace reads prompts, without
	// the delays that don't depend on their length. Zero means unknown, and that servers are planned
	// by Speed. Reading is the tokens a second that arrive and that servers have to read, including
	// shared segments that they are not known to have cached. Both are set only where servers tell
	// their pace; they are not part of the encoding, whose number of fields earlier versions check
	// (see ReadLoad).
	ReadRate float64 `msgpack:"-"`
	Reading  float64 `msgpack:"-"`
}

// samples is a ring of numbers.
type samples struct {
	ring[float64]
}

// quantile returns the q-quantile of the samples, and reports whether there are enough of them.
func (s *samples) quantile(q float64) (float64, bool) {
	n := len(s.values)
	if n < minSamples {
		return 0, false
	}

	return slices.Sorted(slices.Values(s.values))[min(int(float64(n)*q), n-1)], true
}

// meter measures the arrival rate and the speeds of one service.
type meter struct {
	mu          sync.Mutex
	arrivalRate float64
	// readingRate is the arrival rate of tokens that servers have to read.
	readingRate float64
	decayedAt   time.Time
	// speeds are the speeds at which servers read single prompts, waiting included, and readRates
	// the rates at which they read a prompt and the backlog before it; both in tokens a second.
	speeds, readRates samples
	// readRate is the rate without fixed delays.
	readRate readRate
	// maxSpeed is the highest recent speed. It halves in each speedHalfLife.
	maxSpeed   float64
	maxSpeedAt time.Time
}

// addArrival counts a prompt's own tokens, and those that its server has to read.
func (m *meter) addArrival(now time.Time, own, uncached int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayArrivals(now)
	m.arrivalRate += float64(own) / arrivalWindow.Seconds()
	m.readingRate += float64(uncached) / arrivalWindow.Seconds()
}

func (m *meter) decayArrivals(now time.Time) {
	if !m.decayedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(m.decayedAt)) / float64(arrivalWindow))
		m.arrivalRate *= factor
		m.readingRate *= factor
	}

	m.decayedAt = now
}

// recordSpeed records how long a server took to read a prompt, waiting included. tokens are
// those that no server can have cached: this instance doesn't know which shared segments were
// cached on behalf of other instances, and counting them would make a server with a good cache
// look fast.
func (m *meter) recordSpeed(tokens int, took time.Duration) {
	if tokens < minSpeedTokens || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.speeds.add(float64(tokens) / took.Seconds())
}

// recordReadRate records how long a server took to read a prompt and the backlog before it.
func (m *meter) recordReadRate(tokens int64, took time.Duration) {
	if tokens < minReadTokens || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.readRates.add(float64(tokens) / took.Seconds())
}

// recordUnqueuedRead records how long a server of a pace took until the first event of a prompt
// that found no backlog.
func (m *meter) recordUnqueuedRead(tokens int, pace float64, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.readRate.add(tokens, pace, took)
}

// medianReadRate returns the median of the recent read rates in tokens a second, or zero while it
// is unknown.
func (m *meter) medianReadRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	median, _ := m.readRates.quantile(0.5)

	return median
}

// work returns the measurements. paceTold is set if the service's servers tell their pace.
func (m *meter) work(now time.Time, service fleet.Service, paceTold bool) Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayArrivals(now)

	work := Work{Service: service, Arriving: m.arrivalRate}

	work.Speed = m.idleSpeed(now)

	if paceTold {
		work.Reading, work.ReadRate = m.readingRate, m.readRate.tokensPerSecond()
	}

	return work
}

// idleSpeed returns the speed of an idle server. It decays slowly, because overloaded servers
// show a lower speed and must not be taken for slow ones.
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

// Work returns the measurements of this instance for each service.
func (s *Scheduler) Work(now time.Time) []Work {
	s.mu.Lock()
	meters := maps.Clone(s.meters)
	s.mu.Unlock()

	work := make([]Work, 0, len(meters))
	for service, m := range meters {
		_, told := s.TotalPace(now, service)
		work = append(work, m.work(now, service, told))
	}

	return work
}

// meter returns the meter of a service, and creates it on first use.
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
