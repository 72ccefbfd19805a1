package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Count is what one instance counted for a route while a version is tried.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Place    uint64
	Route    string
	Old, New Answers
}

// Answers are those of one version.
type Answers struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Sent counts requests that were sent, Answered those that a server ended, and Failed
	// those of them that it failed.
	Sent, Answered, Failed uint32
	// Paces counts the others by what they took, in steps of paceStep.
	Paces map[uint8]uint32
}

const (
	// paceStep is the factor between two paces that are counted apart, and fastest the first.
	paceStep = 1.5
	fastest  = 100 * time.Microsecond
)

// paceOf returns the step of what an answer took.
func paceOf(took time.Duration) uint8 {
	step := math.Log(float64(took)/float64(fastest)) / math.Log(paceStep)

	return uint8(min(max(step, 0), math.MaxUint8))
}

// combine joins the numbers of two counts.
func (a Answers) combine(b Answers, with func(x, y uint32) uint32) Answers {
	joined := Answers{
		Sent: with(a.Sent, b.Sent), Answered: with(a.Answered, b.Answered), Failed: with(a.Failed, b.Failed),
		Paces: make(map[uint8]uint32, len(a.Paces)),
	}

	for _, paces := range []map[uint8]uint32{a.Paces, b.Paces} {
		for pace := range paces {
			joined.Paces[pace] = with(a.Paces[pace], b.Paces[pace])
		}
	}

	return joined
}

// copy returns counts that don't change any more.
func (a Answers) copy() Answers { return a.combine(Answers{}, sum) }

func sum(x, y uint32) uint32 { return x + y }

// highest is how counts of one source are joined: they only grow.
func highest(x, y uint32) uint32 { return max(x, y) }

// timed returns how many answers have a pace.
func (a Answers) timed() uint32 {
	n := uint32(0)
	for _, answers := range a.Paces {
		n += answers
	}

	return n
}

// slower returns how many answers took longer than a pace.
func (a Answers) slower(than uint8) uint32 {
	n := uint32(0)

	for pace, answers := range a.Paces {
		if pace > than {
			n += answers
		}
	}

	return n
}

// middle returns the pace in the middle of all.
func (a Answers) middle() uint8 {
	left := a.timed() / 2

	for _, pace := range slices.Sorted(maps.Keys(a.Paces)) {
		if a.Paces[pace] > left {
			return pace
		}

		left -= a.Paces[pace]
	}

	return 0
}

// Counter counts at one instance. The zero value is empty; it is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	of map[countKey]*counted
}

type countKey struct {
	service fleet.Service
	place   uint64
	route   string
}

type counted struct {
	old, new Answers
}

// CountSent counts a request that is sent.
func (c *Counter) CountSent(service fleet.Service, place uint64, route string, tried bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(service, place, route).answers(tried).Sent++
}

// CountAnswer counts an answer. took is what is held against others of the route: the time of a
// whole answer, or the mean time between events, which does not depend on what a server's
// cache holds; zero is not known.
func (c *Counter) CountAnswer(service fleet.Service, place uint64, route string, tried, failed bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	a := c.at(service, place, route).answers(tried)
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

func (c *counted) answers(tried bool) *Answers {
	if tried {
		return &c.new
	}

	return &c.old
}

// at returns the counts of a route. Those of earlier orders of the service go.
func (c *Counter) at(service fleet.Service, place uint64, route string) *counted {
	if c.of == nil {
		c.of = make(map[countKey]*counted)
	}

	key := countKey{service, place, route}
	if one := c.of[key]; one != nil {
		return one
	}

	for k := range c.of {
		if k.service == service && k.place < place {
			delete(c.of, k)
		}
	}

	one := &counted{}
	c.of[key] = one

	return one
}

// Counts returns what was counted.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()

	counts := make([]Count, 0, len(c.of))
	for k, one := range c.of {
		counts = append(counts, Count{
			Service: k.service, Place: k.place, Route: k.route, Old: one.old.copy(), New: one.new.copy(),
		})
	}

	return counts
}

// Table holds what all instances counted. The zero value is empty; it is safe for
// concurrent use.
type Table struct {
	mu sync.Mutex
	of map[source]map[string]Count
}

// source is what one start of an instance counted for an order.
type source struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	service     fleet.Service
	place       uint64
}

// Record takes counts of an instance in. Counts of an earlier start stay: what it sent was
// sent.
func (t *Table) Record(id fleet.InstanceID, incarnation fleet.Incarnation, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.of == nil {
		t.of = make(map[source]map[string]Count)
	}

	for _, c := range counts {
		from := source{id, incarnation, c.Service, c.Place}
		if t.of[from] == nil {
			t.of[from] = make(map[string]Count)
		}

		known := t.of[from][c.Route]
		c.Old, c.New = c.Old.combine(known.Old, highest), c.New.combine(known.New, highest)
		t.of[from][c.Route] = c
	}
}

// Routes returns the sums of all instances for an order, by route, and forgets earlier
// orders of the service.
func (t *Table) Routes(o Order) map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()

	sums := make(map[string]Count)

	for from, routes := range t.of {
		if from.service != o.Service {
			continue
		}

		if from.place < o.Place {
			delete(t.of, from)
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
