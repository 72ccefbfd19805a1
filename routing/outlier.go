package routing

import (
	"cmp"
	"slices"
	"time"
)

// ejectionCause is the reason to eject a server. Outliers with a lower value are
// ejected first.
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
	// severity orders outliers with the same cause; the highest is ejected first.
	severity float64
}

// classify compares the health of a server with the medians of its pool.
func (t *Table) classify(s *server, medians poolMedians) outlier {
	if s.dialFailed.Load() {
		return outlier{server: s, cause: causeDial}
	}

	h := &s.health

	// A comparison with NaN is false, so a pool with too few measured servers for a
	// median has no outliers by errors or latency.
	if h.samples() >= t.policy.MinSamples && h.errorRate() > medians.errorRate+t.policy.ErrorMargin {
		return outlier{server: s, cause: causeErrors, severity: h.errorRate()}
	}

	if h.succeeded >= t.policy.MinSamples && h.meanLatency() > medians.latency*t.policy.LatencyFactor {
		return outlier{server: s, cause: causeLatency, severity: h.meanLatency()}
	}

	return outlier{server: s, cause: causeNone}
}

// maxEjected returns the maximum number of servers of a pool that may be ejected at the
// same time.
func (t *Table) maxEjected(p *pool) int {
	return int(t.policy.MaxEjectedShare * float64(len(p.members.items)))
}

// ejectOutliers ejects the worst outliers of a pool, up to its limit of ejected
// servers.
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

// keepOutlier handles an outlier that the limit of the pool protects from ejection. If
// it can't be dialed, it keeps its dialFailed mark, by which all other servers are
// preferred to it, until a backoff has passed.
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
