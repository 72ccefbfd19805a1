package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Count holds the counts of one instance for a route during a trial.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Place    uint64
	Route    string
	Old, New Answers
}

// Answers holds the counts of the requests to the old versions or to the new version.
type Answers struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Sent counts requests sent, Answered those that a server finished, and Failed the
	// answered requests that the server failed.
	Sent, Answered, Failed uint32
	// Paces is a histogram of the durations of the other answers, by bucket: each bucket is
	// longer than the one before by the factor paceFactor.
	Paces map[uint8]uint32
}

const (
	// paceFactor is the ratio of two successive buckets of Paces, and fastestPace the lower
	// bound of the first.
	paceFactor  = 1.5
	fastestPace = 100 * time.Microsecond
)

// paceOf returns the bucket of a duration.
func paceOf(duration time.Duration) uint8 {
	step := math.Log(float64(duration)/float64(fastestPace)) / math.Log(paceFactor)

	return uint8(min(max(step, 0), math.MaxUint8))
}

// combine merges two counts number by number.
func (a Answers) combine(b Answers, with func(x, y uint32) uint32) Answers {
	combined := Answers{
		Sent: with(a.Sent, b.Sent), Answered: with(a.Answered, b.Answered), Failed: with(a.Failed, b.Failed),
		Paces: make(map[uint8]uint32, len(a.Paces)),
	}

	for _, paces := range []map[uint8]uint32{a.Paces, b.Paces} {
		for pace := range paces {
			combined.Paces[pace] = with(a.Paces[pace], b.Paces[pace])
		}
	}

	return combined
}

// copy returns a copy that shares no map with the original.
func (a Answers) copy() Answers { return a.combine(Answers{}, sum) }

func sum(x, y uint32) uint32 { return x + y }

// maximum merges two counts of the same source, whose numbers only grow.
func maximum(x, y uint32) uint32 { return max(x, y) }

// timedAnswers returns the number of answers with a known duration.
func (a Answers) timedAnswers() uint32 {
	n := uint32(0)
	for _, answers := range a.Paces {
		n += answers
	}

	return n
}

// slowerThan returns the number of answers in buckets above a limit.
func (a Answers) slowerThan(limit uint8) uint32 {
	n := uint32(0)

	for pace, answers := range a.Paces {
		if pace > limit {
			n += answers
		}
	}

	return n
}

// medianPace returns the bucket of the median duration.
func (a Answers) medianPace() uint8 {
	left := a.timedAnswers() / 2

	for _, pace := range slices.Sorted(maps.Keys(a.Paces)) {
		if a.Paces[pace] > left {
			return pace
		}

		left -= a.Paces[pace]
	}

	return 0
}

// Counter counts the requests and answers of one instance during trials. The zero value is
// empty; it is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[countKey]*versionCounts
}

type countKey struct {
	service fleet.Service
	place   uint64
	route   string
}

type versionCounts struct {
	old, new Answers
}

// CountSent counts a send of a request to a server of the new version or of an old one.
func (c *Counter) CountSent(service fleet.Service, place uint64, route string, newVersion bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(service, place, route).answers(newVersion).Sent++
}

// CountAnswer counts an answer. took is compared with other answers of the route: the duration
// of the whole answer, or the mean time between events of a stream, which does not depend on
// the server's cache. Zero means that it is unknown.
func (c *Counter) CountAnswer(service fleet.Service, place uint64, route string, newVersion, failed bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	a := c.at(service, place, route).answers(newVersion)
	a.Answered++

	switch {
	case failed:
		a.Failed++
	case took > 0:
		if a.Paces == nil {
			a.Paces = make(map[uint8]uint32)
		}

		a.Paces[paceOf(took)]++
	}
}

func (c *versionCounts) answers(newVersion bool) *Answers {
	if newVersion {
		return &c.new
	}

	return &c.old
}

// at returns the counts of a route, and removes those of earlier orders of the service.
func (c *Counter) at(service fleet.Service, place uint64, route string) *versionCounts {
	if c.counts == nil {
		c.counts = make(map[countKey]*versionCounts)
	}

	key := countKey{service, place, route}
	if existing := c.counts[key]; existing != nil {
		return existing
	}

	for k := range c.counts {
		if k.service == service && k.place < place {
			delete(c.counts, k)
		}
	}

	created := &versionCounts{}
	c.counts[key] = created

	return created
}

// Counts returns a copy of all counts.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()

	counts := make([]Count, 0, len(c.counts))
	for k, versions := range c.counts {
		counts = append(counts, Count{
			Service: k.service, Place: k.place, Route: k.route, Old: versions.old.copy(), New: versions.new.copy(),
		})
	}

	return counts
}

// Table holds the counts of all instances. The zero value is empty; it is safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	bySource map[source]map[string]Count
}

// source identifies the counts of one incarnation of an instance for an order.
type source struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	service     fleet.Service
	place       uint64
}

// Record merges the counts of an instance. The counts of an earlier incarnation remain, since
// its requests were sent.
func (t *Table) Record(id fleet.InstanceID, incarnation fleet.Incarnation, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.bySource == nil {
		t.bySource = make(map[source]map[string]Count)
	}

	for _, c := range counts {
		from := source{id, incarnation, c.Service, c.Place}
		if t.bySource[from] == nil {
			t.bySource[from] = make(map[string]Count)
		}

		known := t.bySource[from][c.Route]
		c.Old, c.New = c.Old.combine(known.Old, maximum), c.New.combine(known.New, maximum)
		t.bySource[from][c.Route] = c
	}
}

// Routes returns the sums over all instances for an order, by route, and removes the counts of
// earlier orders of the service.
func (t *Table) Routes(o Order) map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()

	sums := make(map[string]Count)

	for from, routes := range t.bySource {
		if from.service != o.Service {
			continue
		}

		if from.place < o.Place {
			delete(t.bySource, from)
		}

		if from.place != o.Place {
			continue
		}

		for route, c := range routes {
			all := sums[route]
			all.Old, all.New = all.Old.combine(c.Old, sum), all.New.combine(c.New, sum)
			sums[route] = all
		}
	}

	return sums
}
