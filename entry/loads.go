package entry

import (
	"slices"
	"strings"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
	"monsoonlever/scheduling"
)

const (
	// loadRepeats is in how many words a load is told: some are lost.
	loadRepeats = 1.5
	// maxLoads bounds the loads in one word; each takes up to ten bytes.
	maxLoads = 40
)

// loads returns what backend servers told this instance since its last words.
func (p *parts) loads(now time.Time) []serverLoad {
	within := time.Duration(float64(gossip.Every(p.members.Count()-1)) * loadRepeats)
	reports := p.scheduler.Reports(now, within)
	servers := p.register.Servers()
	loads := make([]serverLoad, 0, min(len(reports), maxLoads))

	for _, r := range reports {
		place, known := slices.BinarySearchFunc(servers, r.Server, byID)
		if !known || len(loads) == maxLoads {
			continue
		}

		loads = append(loads, serverLoad{
			Place: uint16(place), Requests: uint16(r.Requests), AgeMs: uint16(r.Age.Milliseconds()),
		})
	}

	return loads
}

// hearLoads takes in what backend servers told another instance that knows the same
// ones.
func (p *parts) hearLoads(now time.Time, loads []serverLoad) {
	if len(loads) == 0 {
		return
	}

	servers := p.register.Servers()
	reports := make([]scheduling.LoadReport, 0, len(loads))

	for _, l := range loads {
		if int(l.Place) >= len(servers) {
			continue
		}

		reports = append(reports, scheduling.LoadReport{
			Server: servers[l.Place].ID, Requests: int(l.Requests), Age: time.Duration(l.AgeMs) * time.Millisecond,
		})
	}

	p.scheduler.Hear(now, reports)
}

func byID(s register.Server, id fleet.InstanceID) int {
	return strings.Compare(string(s.ID), string(id))
}
