package scheduling

import (
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

const (
	// meterSpan is the time over which arriving work is averaged.
	meterSpan = 4 * time.Second
	// speedSamples is how many answers the speed of servers is read from.
	speedSamples = 48
	// speedRank is the part of the samples that are slower than the speed that
	// counts: most prompts wait for others, and only those that do not show it.
	speedRank = 0.8
	// speedHalfLife is the time in which a speed that is not seen again counts half.
	speedHalfLife = 90 * time.Second
	// minSample is the least work that shows a speed; below it fixed times count, and
	// the few samples that make the first speed.
	minSample = 1500
	// minRead is the least work, all that waited included, that shows a rate of reading.
	minRead    = 6000
	minSamples = 4
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

// rank returns the number below which a part of the others lies, and whether there are
// enough of them.
func (s *samples) rank(part float64) (float64, bool) {
	n := len(s.values)
	if n < minSamples {
		return 0, false
	}

	return slices.Sorted(slices.Values(s.values))[min(int(float64(n)*part), n-1)], true
}

// meter measures one service.
type meter struct {
	mu   sync.Mutex
	rate float64
	at   time.Time
	// speeds are those at which servers read prompts of some size, waiting included, and
	// reads those at which they read what waited there; both in tokens a second.
	speeds, reads samples
	// speed is the highest speed of late.
	speed   float64
	speedAt time.Time
}

// arrived counts work.
func (m *meter) arrived(now time.Time, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	m.rate += float64(tokens) / meterSpan.Seconds()
}

func (m *meter) fade(now time.Time) {
	if !m.at.IsZero() {
		m.rate *= math.Exp(-float64(now.Sub(m.at)) / float64(meterSpan))
	}

	m.at = now
}

// read takes in how long a server took to read a prompt, waiting included. tokens are
// those that no server can have read before: what other instances sent there is not
// known here, and counting it would make a server with a good cache look fast.
func (m *meter) read(tokens int, took time.Duration) {
	if tokens < minSample || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.speeds.add(float64(tokens) / took.Seconds())
}

// readAll takes in how long a server took to read a prompt and what waited before it.
func (m *meter) readAll(tokens int64, took time.Duration) {
	if tokens < minRead || took <= 0 {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.reads.add(float64(tokens) / took.Seconds())
}

// readRate returns the rate at which servers read, as the middle one of late, or zero
// while it is not known.
func (m *meter) readRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	middle, _ := m.reads.rank(0.5)

	return middle
}

func (m *meter) work(now time.Time, service fleet.Service) Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)

	w := Work{Service: service, Arriving: m.rate}

	w.Speed = m.newSpeed(now)

	return w
}

// newSpeed returns the speed of an idle server. It fades slowly: servers that are
// overloaded show less, and must not be taken for slow ones.
func (m *meter) newSpeed(now time.Time) float64 {
	if !m.speedAt.IsZero() {
		m.speed *= math.Exp2(-float64(now.Sub(m.speedAt)) / float64(speedHalfLife))
	}

	m.speedAt = now

	if speed, ok := m.speeds.rank(speedRank); ok {
		m.speed = max(m.speed, speed)
	}

	return m.speed
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
