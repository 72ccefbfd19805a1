package evacuation

import (
	"math"
	"time"

	"monsoonlever/fleet"
)

// DomainInfo is what is known of a failure domain.
type DomainInfo struct {
	Region    fleet.Region
	Instances int
	// Price is the present price of a reclaimable instance.
	Price float64
}

// Wave estimates which failure domain the reclaims hit next. The exported
// fields are set before the first notice.
type Wave struct {
	// HalfLife is the time in which a notice loses half of its weight.
	HalfLife time.Duration
	Domains   map[fleet.FailureDomain]DomainInfo

	notices map[fleet.FailureDomain]noticeCount
}

// noticeCount is the decayed count of notices in a failure domain at a time.
type noticeCount struct {
	count float64
	at    time.Time
}

const (
	sameRegionWeight = 0.5
	priceWeight     = 0.25
)

// Note records a notice in a failure domain.
func (w *Wave) Note(now time.Time, d fleet.FailureDomain) {
	if w.notices == nil {
		w.notices = make(map[fleet.FailureDomain]noticeCount)
	}

	w.notices[d] = noticeCount{count: w.count(now, d) + 1, at: now}
}

// Risk returns how likely a failure domain is hit next; only the order of the
// values means anything. A domain under reclaim is worst. Of the others, those
// beside it in the region come before those elsewhere, and of these the dear
// ones, whose price tells of scarcity.
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

// reclaimedFraction returns the part of a domain's instances that was reclaimed of late.
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

// scarcity returns how far a price is above the cheapest, from 0 to 1.
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
