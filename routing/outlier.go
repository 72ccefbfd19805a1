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

// ejectOutliers ejects the worst servers.
func (t *Table) ejectOutliers(now time.Time, random Random, p *pool, typical typical) {
	var outliers []outlier

	for _, m := range p.members.items {
		if m.server.ejected.Load() {
			continue
		}

		if o := t.outlierOf(m.server, typical); o.cause != causeNone {
			outliers = append(outliers, o)
		}
	}

	slices.SortStableFunc(outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(a.cause, b.cause), cmp.Compare(b.excess, a.excess))
	})

	for _, o := range outliers {
		t.eject(now, random, o)
	}
}

func (t *Table) eject(now time.Time, random Random, o outlier) {
	s := o.server
	s.ejected.Store(true)
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
