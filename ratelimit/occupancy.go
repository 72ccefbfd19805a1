package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// probeShare is the share of the rejections which a server bears that is aimed at. The rest is
	// for requests that are on their way when a rejection is reported.
	probeShare = 0.5
	// rejectionWindow is the time over which a server counts its rejections, with a margin for the
	// time that reports of them take.
	rejectionWindow = 1100 * time.Millisecond
	// minRaiseDelay and maxRaiseDelay bound the time after which one request more than before is
	// tried at a server that rejected some. It doubles with each that is rejected.
	minRaiseDelay, maxRaiseDelay = 2 * time.Second, 16 * time.Second
	// raiseShare is the share by which the limit is raised then, by one request at least.
	raiseShare = 0.25
	// decrease is the factor by which the limit falls at most after a rejection without a load.
	decrease = 0.7
	// handoverLimitShare is the share of the limit that a leader which newly ranks first uses.
	handoverLimitShare = 0.75
	// surplusPeriod is the time over which the estimate must exceed all reports to be lowered.
	// Requests on their way make single reports lower.
	surplusPeriod = 500 * time.Millisecond
	// permitLease is how long a request counts whose end is never reported.
	permitLease = 30 * time.Second
	// silentProbeDelay is how long after the last report a request is sent to a server that seems to
	// be full: reports of ends may have been lost.
	silentProbeDelay = time.Second
	// defaultEndInterval is the interval between two ends at a server of which none is known.
	// minEndInterval and maxEndInterval bound it otherwise.
	defaultEndInterval = 50 * time.Millisecond
	minEndInterval     = 5 * time.Millisecond
	maxEndInterval     = 300 * time.Millisecond
	// endIntervalWeight is the weight of the newest interval between two ends in their average.
	endIntervalWeight = 0.2
)

// unknownRequests is the number of requests at a server in a report that does not tell it.
const unknownRequests = -1

// occupancy bounds the requests in progress at a brittle server, which falls over if it rejects too
// many, by the room that it has shown. A server that holds its slots full is used in full, whatever
// may wait there. Requests beyond what it was seen to hold are probes: so few at a time that it bears
// the rejection of all of them. The zero value knows nothing of the server.
type occupancy struct {
	// present estimates the requests at the server, those on their way included.
	present int
	// proven is the largest number of requests that the server was seen to hold.
	proven int
	// limit bounds present; zero is none. slots is the number that the server was started with.
	limit, slots int
	// raiseDelay is the time after limitedAt at which the limit is raised.
	raiseDelay time.Duration
	limitedAt  time.Time
	// pausedUntil is until when nothing is granted.
	pausedUntil time.Time
	// permits are the times of the permits whose end was not reported, and probes those of the probes
	// among them whose result was not.
	permits, probes []time.Time
	rejections      []time.Time
	reportedAt      time.Time
	// surplus is the least excess of present over the reports since surplusSince; negative if there
	// were none.
	surplus      int
	surplusSince time.Time
	// endInterval is the average time between two ends, the last of which was at endedAt.
	endInterval time.Duration
	endedAt     time.Time
	// turnAt is when the last of the refused requests that wait may ask again.
	turnAt time.Time
}

// grant decides whether a request may be sent now. share is the share of the limit that is used; it is
// below one while another leader may grant requests too. A request that is refused is told when to ask
// again, in turn with others that can wait so long.
func (o *occupancy) grant(now time.Time, maxRejections, slots int, share float64, maxWait time.Duration) Permit {
	o.forget(now)
	o.raise(now)

	if slots > o.slots {
		// The limit is that of a rejection, if there was one.
		if o.limit == 0 || o.limit == o.slots {
			o.limit = slots
		}

		o.slots = slots
	}

	if o.pausedUntil.After(now) {
		return Permit{Wait: o.nextTurn(now, maxWait)}
	}

	limit := o.limit
	if limit == 0 {
		limit = math.MaxInt
	} else if share < 1 {
		limit = max(int(float64(limit)*share), 1)
	}

	silent := now.Sub(o.reportedAt) > silentProbeDelay
	if o.present >= limit && !silent {
		return Permit{Wait: o.nextTurn(now, maxWait)}
	}

	probe := o.present >= min(o.proven, limit)
	if probe && len(o.probes)+len(o.rejections) >= maxProbes(maxRejections) {
		return Permit{Wait: o.nextTurn(now, maxWait)}
	}

	o.present++
	o.permits = append(o.permits, now)

	if probe {
		o.probes = append(o.probes, now)

		if silent {
			// One of them until the next report.
			o.reportedAt = now
		}
	}

	return Permit{Granted: true, Level: o.present, Probe: probe}
}

// maxProbes returns how many requests may be unproven or rejected at a time.
func maxProbes(maxRejections int) int {
	return max(int(float64(maxRejections)*probeShare), 1)
}

// forget drops permits whose end was never reported, and rejections that no longer count.
func (o *occupancy) forget(now time.Time) {
	lost := expired(now, o.permits, permitLease)
	o.permits = o.permits[lost:]
	o.present = max(o.present-lost, 0)
	o.probes = o.probes[expired(now, o.probes, permitLease):]
	o.rejections = o.rejections[expired(now, o.rejections, rejectionWindow):]
}

// expired returns how many of the times are older than a duration.
func expired(now time.Time, times []time.Time, ttl time.Duration) int {
	n := slices.IndexFunc(times, func(at time.Time) bool { return now.Sub(at) <= ttl })
	if n < 0 {
		return len(times)
	}

	return n
}

// raise raises a limit that was lowered by a rejection, up to the slots if they are known.
func (o *occupancy) raise(now time.Time) {
	if o.limit == 0 || o.slots > 0 && o.limit >= o.slots || now.Sub(o.limitedAt) < o.raiseDelay {
		return
	}

	o.limit += max(int(float64(o.limit)*raiseShare), 1)
	if o.slots > 0 {
		o.limit = min(o.limit, o.slots)
	}

	o.limitedAt = now
}

// nextTurn returns after which time a refused request may ask again, and takes that turn if the
// request can wait so long. Turns follow each other as requests end.
func (o *occupancy) nextTurn(now time.Time, maxWait time.Duration) time.Duration {
	interval := defaultEndInterval
	if o.endInterval > 0 {
		interval = min(max(o.endInterval, minEndInterval), maxEndInterval)
	}

	next := now
	for _, at := range []time.Time{o.turnAt, o.pausedUntil} {
		if at.After(next) {
			next = at
		}
	}

	next = next.Add(interval)
	if next.Sub(now) <= maxWait {
		o.turnAt = next
	}

	return next.Sub(now)
}

// began records that the server has begun to respond to a request.
func (o *occupancy) began(now time.Time, r PermitReport, own bool) {
	o.confirm(r, own)
	o.observe(now, r.Requests)
}

// ended records that a request has left the server.
func (o *occupancy) ended(now time.Time, r PermitReport, own bool) {
	if r.Accepted {
		o.confirm(r, own)
	} else {
		o.removeProbe(r, own)
	}

	o.leave(r, own)

	if interval := now.Sub(o.endedAt); !o.endedAt.IsZero() && interval < permitLease {
		o.endInterval += time.Duration(endIntervalWeight * float64(interval-o.endInterval))
	}

	o.endedAt = now
	o.observe(now, r.Requests)
}

// rejected records that the server rejected a request for lack of room.
func (o *occupancy) rejected(now time.Time, r PermitReport, own bool) {
	o.removeProbe(r, own)
	o.leave(r, own)
	o.rejections = append(o.rejections, now)

	switch {
	case r.Requests != unknownRequests:
		o.lower(now, max(r.Requests, 1), max(r.Requests, 1), r.Probe && own)
	case own:
		// The level is an estimate.
		room := max(r.Level-1, 1)
		o.lower(now, room, max(room, int(float64(o.limit)*decrease)), r.Probe)
	}

	if !r.Probe || !own {
		pause := time.Duration(float64(time.Second) / max(float64(r.MaxRejections)*probeShare, 1))
		o.pausedUntil = now.Add(pause)
	}

	o.observe(now, r.Requests)
}

// lower lowers what the server was seen to hold, and the limit, after a rejection.
func (o *occupancy) lower(now time.Time, room, limit int, probe bool) {
	o.proven = min(o.proven, room)

	if o.limit == 0 || limit <= o.limit {
		o.limit = limit
	}

	o.limitedAt = now

	if probe && o.raiseDelay > 0 {
		o.raiseDelay = min(2*o.raiseDelay, maxRaiseDelay)
	} else {
		o.raiseDelay = minRaiseDelay
	}
}

// confirm records that the server accepted a request.
func (o *occupancy) confirm(r PermitReport, own bool) {
	if !own {
		return
	}

	o.removeProbe(r, own)

	// The request may have been granted before the limit fell.
	if o.limit == 0 || r.Level <= o.limit {
		o.proven = max(o.proven, r.Level)
	}
}

func (o *occupancy) removeProbe(r PermitReport, own bool) {
	if own && r.Probe && len(o.probes) > 0 {
		o.probes = o.probes[1:]
	}
}

// leave removes one request. One that another instance granted is counted only where the server tells
// how many requests it holds.
func (o *occupancy) leave(r PermitReport, own bool) {
	if own || r.Requests != unknownRequests {
		o.present = max(o.present-1, 0)
	}

	if own && len(o.permits) > 0 {
		o.permits = o.permits[1:]
	}
}

// observe corrects the estimate by the number of requests that the server reported.
func (o *occupancy) observe(now time.Time, requests int) {
	o.reportedAt = now

	if requests == unknownRequests {
		return
	}

	if o.surplusSince.IsZero() {
		o.surplus, o.surplusSince = math.MaxInt, now
	}

	o.proven = max(o.proven, requests)
	o.present = max(o.present, requests)
	o.surplus = min(o.surplus, o.present-requests)

	if now.Sub(o.surplusSince) < surplusPeriod {
		return
	}

	o.present -= o.surplus
	o.permits = o.permits[min(o.surplus, len(o.permits)):]
	o.surplus, o.surplusSince = math.MaxInt, now
}
