package evacuation

import (
	"math"
	"time"

	"monsoonlever/fleet"
)

// DomainInfo describes a failure domain.
type DomainInfo struct {
	Region    fleet.Region
	Instances int
	// Price is the current price of a reclaimable instance.
	Price float64
}

// Wave estimates which failure domain is reclaimed next. Its exported fields must
// be set before the first notice.
type Wave struct {
	// HalfLife is the time in which the weight of a notice halves.
	HalfLife time.Duration
	Domains  map[fleet.FailureDomain]DomainInfo

	notices map[fleet.FailureDomain]noticeCount
}

// noticeCount is the decayed number of notices in a failure domain, as of at.
type noticeCount struct {
	count float64
	at    time.Time
}

const (
	sameRegionWeight = 0.5
	priceWeight      = 0.25
)

// Note records a notice in a failure domain.
func (w *Wave) Note(now time.Time, d fleet.FailureDomain) {
	if w.notices == nil {
		w.notices = make(map[fleet.FailureDomain]noticeCount)
	}

	w.notices[d] = noticeCount{count: w.count(now, d) + 1, at: now}
}

// Risk returns a score of how likely a failure domain is reclaimed next; only the
// order of scores is meaningful. A domain scores by the fraction of its instances
// that got notices recently, or by a reduced fraction of another domain in the
// same region if that is higher. A higher price adds to the score, since it
// indicates scarcity. A domain whose instances all just got notices therefore
// scores above every domain without notices.
func (w *Wave) Risk(now time.Time, d fleet.FailureDomain) float64 {
	place := w.Domains[d]
	risk := w.reclaimedFraction(now, d)

	for other, p := range w.Domains {
		if other != d && p.Region == place.Region {
			risk = math.Max(risk, sameRegionWeight*w.reclaimedFraction(now, other))
		}
	}

	return risk + priceWeight*w.scarcity(place)
}

// reclaimedFraction returns the fraction of a domain's instances that got
// reclaim notices recently.
func (w *Wave) reclaimedFraction(now time.Time, d fleet.FailureDomain) float64 {
	instances := max(1, w.Domains[d].Instances)

	return math.Min(1, w.count(now, d)/float64(instances))
}

func (w *Wave) count(now time.Time, d fleet.FailureDomain) float64 {
	h, ok := w.notices[d]
	if !ok || w.HalfLife <= 0 {
		return h.count
	}

	halves := now.Sub(h.at).Seconds() / w.HalfLife.Seconds()

	return h.count * math.Exp2(-halves)
}

// scarcity returns where the price of a domain lies between the lowest (0) and the
// highest (1) of all domains.
func (w *Wave) scarcity(place DomainInfo) float64 {
	low, high := math.Inf(1), 0.0
	for _, p := range w.Domains {
		low = math.Min(low, p.Price)
		high = math.Max(high, p.Price)
	}

	if high <= low {
		return 0
	}

	return (place.Price - low) / (high - low)
}
