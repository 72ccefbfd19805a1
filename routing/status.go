package routing

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Status is the state that the table has of one server.
type Status struct {
	id       fleet.InstanceID
	key      Key
	domain   fleet.FailureDomain
	load     int64
	inFlight int64
	reported time.Time
	leaving  bool
	loading  bool
	ejected  bool
}

// ID returns the instance id of the server.
func (s Status) ID() fleet.InstanceID { return s.id }

// Key returns the key of the requests that the server takes.
func (s Status) Key() Key { return s.key }

// Domain returns the failure domain of the server.
func (s Status) Domain() fleet.FailureDomain { return s.domain }

// Load returns the estimated number of requests that the server holds, 0 if it can't
// take requests.
func (s Status) Load() int64 { return s.load }

// InFlight returns the number of requests of this entry instance that the server holds.
func (s Status) InFlight() int64 { return s.inFlight }

// ReportedAt returns the time of the last load report, as the server stamped it.
func (s Status) ReportedAt() time.Time { return s.reported }

// Leaving reports whether the server is leaving.
func (s Status) Leaving() bool { return s.leaving }

// Loading reports whether the engine of the server isn't ready yet.
func (s Status) Loading() bool { return s.loading }

// Ejected reports whether the server is ejected as an outlier.
func (s Status) Ejected() bool { return s.ejected }

// Statuses returns the status of every server, sorted by id.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()

	statuses := make([]Status, 0, len(t.servers))

	for _, s := range t.servers {
		load := int64(0)
		if m := s.member.Load(); m != nil {
			load = m.load()
		}

		statuses = append(statuses, Status{
			id:       s.id,
			key:      s.spec.key,
			domain:   s.spec.domain,
			load:     load,
			inFlight: s.inFlight.Load(),
			reported: s.reportedAt,
			leaving:  s.leaving.Load(),
			loading:  s.spec.loading,
			ejected:  s.ejected.Load(),
		})
	}

	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.id, b.id) })

	return statuses
}
