// Package ratelimit keeps what all entry instances together send to a backend server
// within the rate that the server announced in its answers.
//
// One instance grants the requests to a limited server: the first of those that lead, in
// an order by the hash of server and instance (RankOf). It holds one token bucket a server
// (Granter). The others ask it for each request (Asker), a few milliseconds. While it does
// not reply, the second in order grants at a lower rate, so that both together stay within
// one and a half times the limit. One that comes to be the first grants at that rate too
// until all can be expected to know so.
//
// # Usage
//
//	asker := &ratelimit.Asker{Self: "entry-1", Clock: clk, Granter: granter, Leaders: leaders, Send: send}
//	permit := asker.Ask(ctx, server, announcement, patience)
//	if permit.Granted {
//		// Send the request after permit.Wait.
//	}
package ratelimit

import (
	"math"
	"time"
)

// Rate is a number of requests a second, over all entry instances.
type Rate float64

const (
	// Unlimited is the rate of a server that announces none.
	Unlimited Rate = 0
	// MinRate is the rate at which a server that takes no requests at all is still asked
	// whether that has changed: only an answer can tell.
	MinRate Rate = 0.25
)

// Valid reports whether a rate that came in a message is one.
func (r Rate) Valid() bool { return r >= 0 && !math.IsInf(float64(r), 1) }

// Announcement is what a server said that it takes. At is when it said so: for a limit no
// earlier, and for what lifts or raises one no later than that.
type Announcement struct {
	Rate Rate
	At   time.Time
}

// Observed returns what is known after an answer that came now to a request sent at a
// time. Answers overtake each other: one lifts or raises a limit only if its request was
// sent after the limit was last announced.
func (a Announcement) Observed(rate Rate, sent, now time.Time) Announcement {
	next := Announcement{Rate: rate, At: sent}
	if next.within(a) {
		next.At = now
	}

	return a.Newest(next)
}

// Newest returns the newer of two announcements.
func (a Announcement) Newest(other Announcement) Announcement {
	if other.At.After(a.At) {
		return other
	}

	return a
}

// transit is how much later an announcement may seem than it is, by the way of the
// messages that bring it. Instances that pass the same one on to each other would else take
// it for a newer one each time, and hold a limit that was lifted.
const transit = 50 * time.Millisecond

// Received returns what is known after another instance passed on what it knows.
func (a Announcement) Received(other Announcement) Announcement {
	if other.Rate == a.Rate && other.At.Sub(a.At) < transit {
		return a
	}

	return a.Newest(other)
}

// within reports whether an announcement is a limit that allows no more than another one.
func (a Announcement) within(other Announcement) bool {
	return a.Rate != Unlimited && (other.Rate == Unlimited || a.Rate <= other.Rate)
}
