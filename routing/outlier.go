package routing

import (
	"cmp"
	"slices"
	"time"
)

// cause tells why a server is ejected; a smaller one goes first.
type cause int

const (
	causeDial cause = iota
	causeErrors
	causeLatency
	causeNone
)

type outlier struct {
	server *server
	cause  cause
	// excess orders outliers of one cause.
	excess float64
}

// outlierOf compares a server with what is typical for its pool.
func (t *Table) outlierOf(s *server, typical typical) outlier {
	if s.suspect.Load() {
		return outlier{server: s, cause: causeDial}
	}

	h := &s.health

	// A comparison with NaN is false, so that too few peers eject nobody.
	if h.samples() >= t.policy.MinSamples && h.errorRate() > typical.errorRate+t.policy.ErrorMargin {
		return outlier{server: s, cause: causeErrors, excess: h.errorRate()}
	}

	if h.done >= t.policy.MinSamples && h.meanLatency() > typical.latency*t.policy.LatencyFactor {
		return outlier{server: s, cause: causeLatency, excess: h.meanLatency()}
	}

	return outlier{server: s, cause: causeNone}
}

// maxEjected returns how many servers of a pool may be ejected at once.
func (t *Table) maxEjected(p *pool) int {
	return int(t.policy.MaxEjectedShare * float64(len(p.members.items)))
}

// ejectOutliers ejects the worst servers, as far as the bound of the pool allows.
func (t *Table) ejectOutliers(now time.Time, random Random, p *pool, typical typical) {
	var outliers []outlier

	room := t.maxEjected(p)

	for _, m := range p.members.items {
		if m.server.ejected.Load() {
			room--

			continue
		}

		if o := t.outlierOf(m.server, typical); o.cause != causeNone {
			outliers = append(outliers, o)
		}
	}

	slices.SortStableFunc(outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(a.cause, b.cause), cmp.Compare(b.excess, a.excess))
	})

	room = min(max(room, 0), len(outliers))

	for _, o := range outliers[:room] {
		t.eject(now, random, o)
	}

	for _, o := range outliers[room:] {
		t.counters.overBound.Inc()
		t.keep(now, random, o)
	}
}

// keep leaves an outlier in the pool. One that can't be dialled is chosen after
// all others until it is tried again.
func (t *Table) keep(now time.Time, random Random, o outlier) {
	if o.cause != causeDial {
		return
	}

	h := &o.server.health

	switch {
	case h.suspectUntil.IsZero():
		h.suspectUntil = now.Add(t.backoff(random, 1))
	case now.After(h.suspectUntil):
		h.suspectUntil = time.Time{}
		o.server.suspect.Store(false)
	}
}

func (t *Table) eject(now time.Time, random Random, o outlier) {
	s := o.server
	s.ejected.Store(true)
	s.health.suspectUntil = time.Time{}
	s.health.ejections++
	s.health.probeAt = now.Add(t.backoff(random, s.health.ejections))

	switch o.cause {
	case causeDial:
		t.counters.ejectedDial.Inc()
	case causeErrors:
		t.counters.ejectedError.Inc()
	default:
		t.counters.ejectedSlow.Inc()
	}
}
