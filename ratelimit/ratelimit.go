// Package ratelimit keeps what all entry instances together send to a backend server
// within the rate that the server announced in its answers.
//
// # Usage
//
//	announced := ratelimit.Announcement{Rate: 1.5, At: now}
//	if current.Admits(announced, sentAt) {
//		current = announced
//	}
package ratelimit

import "time"

// Rate is a number of requests a second, over all entry instances.
type Rate float64

const (
	// Unlimited is the rate of a server that announces none.
	Unlimited Rate = 0
	// Least is the rate at which a server that takes no requests at all is still asked
	// whether that has changed: only an answer can tell.
	Least Rate = 0.25
)

// Announcement is what a server said that it takes, and when an answer last said so.
type Announcement struct {
	Rate Rate
	At   time.Time
}

// Admits tells whether an announcement replaces this one. A stricter one does at once. One
// that lifts or raises the limit does so only if the request which it answers was sent, at
// a time, after this one was made: answers overtake each other.
func (a Announcement) Admits(next Announcement, sent time.Time) bool {
	return next.stricter(a) || sent.After(a.At)
}

// stricter tells whether an announcement allows no more than another one.
func (a Announcement) stricter(other Announcement) bool {
	if a.Rate == Unlimited || other.Rate == Unlimited {
		return a.Rate != Unlimited
	}

	return a.Rate <= other.Rate
}
