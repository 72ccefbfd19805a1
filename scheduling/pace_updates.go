package scheduling

import (
	"math"
	"time"

	"monsoonlever/pace"
)

// maxSampleCount bounds the samples of one entry of an update.
const maxSampleCount = math.MaxUint16

// ServerPace is what an instance learned of a server's pace since its last update, and what the
// server last told of its slowness.
type ServerPace struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	// SlownessPercent is zero if the server told none. AgeMs is the age of the figure in
	// milliseconds.
	SlownessPercent uint16
	AgeMs           uint16
	Samples         []PaceSample
}

// PaceSample is the geometric mean of the rates of a number of answers.
type PaceSample struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Kind is 0 for prompt tokens a second, 1 for events a second, 2 for requests a second.
	Kind  uint8
	Rate  float32
	Count uint16
}

// publishPace queues the pace of a server. It is not worth an update by itself.
func (s *Scheduler) publishPace(srv *server, upstream bool) {
	s.publish(paceChanged, srv, nil, upstream, false)
}

// paceUpdate returns what an audience has not been told yet.
func (p *serverPace) paceUpdate(now time.Time, server Key, to Audience) ServerPace {
	update := ServerPace{Server: server}

	if told := p.lastTold(); told.Value > 0 {
		update.SlownessPercent = uint16(math.Round(100 * told.Value))
		update.AgeMs = uint16(min(max(now.Sub(told.At), 0).Milliseconds(), math.MaxUint16))
	}

	for kind, sample := range p.takeUntold(to) {
		if sample.Valid() {
			update.Samples = append(update.Samples, PaceSample{
				Kind: uint8(kind), Rate: float32(math.Exp(sample.LogSum / sample.Weight)),
				Count: uint16(min(math.Round(sample.Weight), maxSampleCount)),
			})
		}
	}

	return update
}

// lastTold returns the last figure as the server told it.
func (p *serverPace) lastTold() pace.Slowness {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.told
}

// applyPaces applies what other instances told of the paces of servers.
func (s *Scheduler) applyPaces(now time.Time, byKey map[Key]*server, role SenderRole, updates []ServerPace) {
	for _, update := range updates {
		if srv := byKey[update.Server]; srv != nil && srv.pace.apply(now, update, role == Subscriber) {
			s.publishPace(srv, role == Subscriber)
		}
	}
}

// apply applies an update, and reports whether it has to be forwarded.
func (p *serverPace) apply(now time.Time, update ServerPace, upstream bool) bool {
	at := now.Add(-time.Duration(update.AgeMs) * time.Millisecond)
	changed := p.tell(pace.Slowness{Value: float64(update.SlownessPercent) / 100, At: at})

	for _, s := range update.Samples {
		if s.Kind >= uint8(paceKinds) || s.Count == 0 {
			continue
		}

		sample := pace.SampleOf(float64(s.Rate))
		if !sample.Valid() {
			continue
		}

		sample.LogSum *= float64(s.Count)
		sample.Weight = float64(s.Count)
		p.add(now, paceKind(s.Kind), sample, upstream)

		changed = true
	}

	return changed
}
