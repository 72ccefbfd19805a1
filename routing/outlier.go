package routing

import (
	"cmp"
	"slices"
	"time"
)

// ejectionCause tells why a server is ejected; a smaller one goes first.
type ejectionCause int

const (
	causeDial ejectionCause = iota
	causeErrors
	causeLatency
	causeNone
)

type outlier struct {
	server *server
	cause  ejectionCause
	// severity orders outliers of one cause.
	severity float64
}

// classify compares a server with what is typical for its pool.
func (t *Table) classify(s *server, medians poolMedians) outlier {
	if s.dialFailed.Load() {
		return outlier{server: s, cause: causeDial}
	}

	h := &s.health

	// A comparison with NaN is false, so that too few peers eject nobody.
	if h.samples() >= t.policy.MinSamples && h.errorRate() > medians.errorRate+t.policy.ErrorMargin {
		return outlier{server: s, cause: causeErrors, severity: h.errorRate()}
	}

	if h.succeeded >= t.policy.MinSamples && h.meanLatency() > medians.latency*t.policy.LatencyFactor {
		return outlier{server: s, cause: causeLatency, severity: h.meanLatency()}
	}

	return outlier{server: s, cause: causeNone}
}

// maxEjected returns how many servers of a pool may be ejected at once.
func (t *Table) maxEjected(p *pool) int {
	return int(t.policy.MaxEjectedShare * float64(len(p.members.items)))
}

// ejectOutliers ejects the worst servers, as far as the bound of the pool allows.
func (t *Table) ejectOutliers(now time.Time, random Random, p *pool, medians poolMedians) {
	var outliers []outlier

	allowance := t.maxEjected(p)

	for _, m := range p.members.items {
		if m.server.ejected.Load() {
			allowance--

			continue
		}

		if o := t.classify(m.server, medians); o.cause != causeNone {
			outliers = append(outliers, o)
		}
	}

	slices.SortStableFunc(outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(a.cause, b.cause), cmp.Compare(b.severity, a.severity))
	})

	allowance = min(max(allowance, 0), len(outliers))

	for _, o := range outliers[:allowance] {
		t.eject(now, random, o)
	}

	for _, o := range outliers[allowance:] {
		t.counters.ejectionsOverBound.Inc()
		t.keepOutlier(now, random, o)
	}
}

// keepOutlier leaves an outlier in the pool. One that can't be dialled is chosen after
// all others until it is tried again.
func (t *Table) keepOutlier(now time.Time, random Random, o outlier) {
	if o.cause != causeDial {
		return
	}

	h := &o.server.health

	switch {
	case h.dialFailedUntil.IsZero():
		h.dialFailedUntil = now.Add(t.backoff(random, 1))
	case now.After(h.dialFailedUntil):
		h.dialFailedUntil = time.Time{}
		o.server.dialFailed.Store(false)
	}
}

func (t *Table) eject(now time.Time, random Random, o outlier) {
	s := o.server
	s.ejected.Store(true)
	s.health.dialFailedUntil = time.Time{}
	s.health.ejections++
	s.health.probeAt = now.Add(t.backoff(random, s.health.ejections))

	switch o.cause {
	case causeDial:
		t.counters.ejectionsDial.Inc()
	case causeErrors:
		t.counters.ejectionsErrors.Inc()
	default:
		t.counters.ejectionsLatency.Inc()
	}
}
