// Package rollout moves the traffic of a service to a new version of its backend servers,
// or back.
//
// Operators order it with a deadline. Until it is decided the new version gets a small part
// of the requests, which all instances together keep within a budget whatever the version
// is and whenever it turns bad. The holder of the duty plans: counts of answers by version
// and route go in, the share and in the end the verdict come out. The others send by the
// newest decision they heard, and to the old version alone once that decision is too old: an
// instance that hears nobody tries nothing.
//
// # Usage
//
//	var gate rollout.Gate // at each instance, on the path of requests
//	gate.AddOrder(order)
//	choice := gate.Choose(now, service)
//
//	p := &rollout.Planner{Policy: policy, Order: order} // at the holder of the duty
//	state := p.Step(now, picture)
package rollout

import (
	"time"

	"monsoonlever/feed"
	"monsoonlever/fleet"
)

// Order is what operators ask for: that the traffic of a service be moved to a version
// within a time.
type Order struct {
	Service  fleet.Service
	Target   fleet.Version
	Duration time.Duration
	// Place is that of the order among all; a later one of a service replaces the earlier.
	Place uint64
}

// reissues tells whether an order is an earlier one that operators wrote reissues because the
// platform lost it.
func (o Order) reissues(earlier Order) bool {
	return o.Service == earlier.Service && o.Target == earlier.Target && o.Duration == earlier.Duration &&
		feed.Position(o.Place-1).Era() > feed.Position(earlier.Place-1).Era()
}

// Policy bounds what a new version may get before it is known to be good.
type Policy struct {
	// Share and Slack are the part of all requests of the service from the order to its
	// deadline, and how many more, that a bad version may get over all instances.
	Share float64
	Slack float64
	// StopTimeout is the time after which nobody may send to a version that has shown itself bad.
	StopTimeout time.Duration
}

// grantStopShare is the part of the time to stop for which a decision to send to the new version
// counts. Noticing and telling take the rest.
const grantStopShare = 0.5

// GrantTTL is how long a decision to send to the new version counts after it was made.
func (p Policy) GrantTTL() time.Duration {
	return time.Duration(grantStopShare * float64(p.StopTimeout))
}
