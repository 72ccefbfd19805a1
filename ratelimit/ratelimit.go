// Package ratelimit keeps the requests that all entry instances together send to a
// backend server within the rate that the server announced in its responses.
//
// One instance grants the requests to a limited server: the leader that ranks first in
// rendezvous hashing of server and instance (RankLeaders). It holds one token bucket per
// server (Granter). The other instances request a permit from it for each request
// (Limiter), which takes a few milliseconds. While it does not respond, the leader that
// ranks second, the standby, grants at a lower rate, so that both together stay within one
// and a half times the limit. A leader that newly ranks first also grants at that lower
// rate until all instances can be expected to know the change.
//
// A server may also be brittle: it falls over if it has to reject more than a number of requests
// in a second for lack of room. The granter then bounds the requests in progress at the server by
// the room that it has shown. Instances report when a request begins, ends or is rejected.
//
// # Usage
//
//	limiter := &ratelimit.Limiter{Self: "entry-1", Clock: clk, Granter: granter, Announcements: store, Leaders: leaders, Send: send}
//	permit := limiter.Acquire(ctx, server, announcement, maxWait)
//	if permit.Granted {
//		// Send the request after permit.Wait.
//	}
package ratelimit

import (
	"math"
	"time"
)

// Rate is a number of requests per second, over all entry instances.
type Rate float64

const (
	// Unlimited is the rate of a server that announces no limit.
	Unlimited Rate = 0
	// MinRate is used for a server that announces that it accepts no requests. Only a response
	// to a request can lift that limit, so some requests must still be sent.
	MinRate Rate = 0.25
)

// Valid reports whether a rate received in a message is a finite number of at least zero.
func (r Rate) Valid() bool { return r >= 0 && !math.IsInf(float64(r), 1) }

// Announcement is the rate limit that a server announced. At is when it did so: a time no
// earlier than that if it sets a limit, and no later than that if it lifts or raises one.
type Announcement struct {
	Rate Rate
	At   time.Time
	// MaxRejections is how many rejections a second a brittle server bears; zero is any number.
	MaxRejections int
	// Slots is how many requests the server runs at a time, zero if it is not known.
	Slots int
}

// Observed returns the announcement in force after a response with a rate arrived now to a
// request sent at the given time. Responses may overtake each other, so one lifts or raises a
// limit only if its request was sent after the limit was last announced.
func (a Announcement) Observed(rate Rate, sent, now time.Time) Announcement {
	next := Announcement{Rate: rate, At: sent}
	if next.atMost(a) {
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

// transitTolerance is how much newer an announcement may appear than it is, because of the
// latency of the messages that carry it. Without it, instances that forward the same
// announcement to each other would take it for a newer one each time, and keep a limit that
// was lifted.
const transitTolerance = 50 * time.Millisecond

// Received returns the announcement in force after another instance forwarded the one that it
// knows.
func (a Announcement) Received(other Announcement) Announcement {
	if other.Rate == a.Rate && other.At.Sub(a.At) < transitTolerance {
		return a
	}

	return a.Newest(other)
}

// atMost reports whether an announcement is a limit that is no higher than another one.
func (a Announcement) atMost(other Announcement) bool {
	return a.Rate != Unlimited && (other.Rate == Unlimited || a.Rate <= other.Rate)
}
