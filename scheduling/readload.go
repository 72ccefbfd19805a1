package scheduling

import (
	"math"
	"slices"

	"monsoonlever/fleet"
)

// ReadLoad is what Work holds for services whose servers tell their pace. Messages carry it beside
// Work, whose encoding has a fixed number of fields.
type ReadLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Reading  float64
	Rate     float64
}

// ReadLoads returns the read loads of work; services without one are left out.
func ReadLoads(work []Work) []ReadLoad {
	var loads []ReadLoad

	for _, w := range work {
		if load, known := w.ReadLoad(); known {
			loads = append(loads, load)
		}
	}

	return loads
}

// ReadLoad returns the read load of work, and reports whether it is known.
func (w Work) ReadLoad() (ReadLoad, bool) {
	return ReadLoad{Service: w.Service, Reading: w.Reading, Rate: w.ReadRate}, w.Reading > 0 || w.ReadRate > 0
}

// WithReadLoads returns work with the read loads of a message. Loads that are no finite positive
// number, and those of services without work, are left out.
func WithReadLoads(work []Work, loads []ReadLoad) []Work {
	if len(loads) == 0 {
		return work
	}

	work = slices.Clone(work)

	for _, load := range loads {
		i := slices.IndexFunc(work, func(w Work) bool { return w.Service == load.Service })
		if i < 0 {
			continue
		}

		work[i].Reading, work[i].ReadRate = positive(load.Reading), positive(load.Rate)
	}

	return work
}

// positive returns a number, or zero if it isn't finite and positive.
func positive(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}

	return x
}
