package capacity

import (
	"math"
	"time"
)

const (
	// maxReadingAfterLosses is the share of their time in which the remaining servers read prompts
	// after two failure domains were reclaimed. 95 of 100 prompts then wait less than 200 ms before
	// they are read, half of a tight objective for the first event: with a heavy tail of lengths, at
	// servers whose work takes 2.5 times as long for 15 in 100 of the time, of which the one with
	// less to read is chosen of two at least.
	maxReadingAfterLosses = 0.7
	// maxSlotsAfterLosses is the share of the remaining slots in use after two failure domains were
	// reclaimed. Requests go to the servers with free slots, so that only the number of all of them
	// varies; where they come three at a time, 500 slots then have room for two standard
	// deviations more.
	maxSlotsAfterLosses = 0.85
	// minMeanPace and maxMeanPace bound the mean pace, of which 1 is usual by its definition: a mean
	// beyond them is taken for a fault of what servers tell.
	minMeanPace = 0.5
	maxMeanPace = 2
	// maxReadRateFactor bounds the read rate by the speed of single prompts. A larger ratio means
	// that prompts hardly take longer than the fixed delays, which shows no rate.
	maxReadRateFactor = 5
)

// need is a number of servers, and what asks for it.
type need struct {
	servers float64
	bound   Bound
}

// measured reports whether servers tell their pace and the rate is known at which they read.
func (s ServiceState) measured() bool { return s.ReadRate > 0 && s.ReadArrivalRate > 0 }

// MeanPace returns the mean pace of the present servers, which is 1 while it is unknown.
func (s ServiceState) MeanPace() float64 {
	servers := s.serverCount()
	if servers == 0 || !(s.Pace > 0) {
		return 1
	}

	return min(max(s.Pace/float64(servers), minMeanPace), maxMeanPace)
}

// readRate returns the rate at which the mean of the present servers reads prompts.
func (s ServiceState) readRate() float64 {
	rate := s.ReadRate
	if s.ServerRate > 0 {
		rate = min(rate, maxReadRateFactor*s.ServerRate)
	}

	return rate * s.MeanPace()
}

// remaining returns the servers that the load needs to remain after losses.
func (s ServiceState) remaining() need {
	n := need{servers: s.ReadArrivalRate / (s.readRate() * maxReadingAfterLosses), bound: Reading}

	if s.OccupancyKnown {
		if slots := s.Occupancy * float64(s.serverCount()) / maxSlotsAfterLosses; slots > n.servers {
			n = need{servers: slots, bound: Slots}
		}
	}

	return n
}

// wantedByPace returns the servers for the current load: as many as carry it now, and with those
// that may be lost as many as carry what has lasted for a boot time. Servers ordered for a shorter
// burst serve it no more; the spare ones carry it until then.
func (p *Planner) wantedByPace(now time.Time, s ServiceState) (int, Bound) {
	remaining := s.remaining()
	withSpare := need{servers: remaining.servers / (1 - lostShare(len(s.Domains))), bound: remaining.bound}
	sustained := p.sustainedOf(s.Service).add(now, withSpare, s.BootTime)

	if sustained.servers > remaining.servers {
		remaining = sustained
	}

	// An absurd load is cut off before it exceeds an int.
	most := float64(len(s.Domains)*s.MaxPerDomain + 1)

	return int(math.Ceil(min(remaining.servers, most))), remaining.bound
}
