// Package rollout moves the traffic of a service to a new version of its backend servers,
// or back.
//
// Operators order a roll-out with a deadline. During the trial, the new version receives a
// small share of the requests. All instances together keep this share within a budget, even
// if the version is bad or turns bad at any time. The duty holder plans: from the counts of
// answers by version and route, it decides on the share and finally on completing or
// reverting the roll-out. The other instances follow the newest decision that they received.
// Once that decision has expired, they send requests to the old version only, so an instance
// that receives no updates sends nothing to the new version.
//
// # Usage
//
//	var gate rollout.Gate // at each instance, on the request path
//	gate.AddOrder(now, order)
//	choice := gate.Choose(now, service)
//
//	p := &rollout.Planner{Policy: policy, Order: order, FirstSeen: now} // at the duty holder
//	state, complete := p.Step(now, fence, observation)
package rollout

import (
	"time"

	"monsoonlever/feed"
	"monsoonlever/fleet"
)

// Order is an operator's request to move the traffic of a service to a version.
type Order struct {
	Service  fleet.Service
	Target   fleet.Version
	Duration time.Duration
	// Place is the position of the order among all orders; a later order of a service replaces
	// an earlier one.
	Place uint64
}

// reissues reports whether the order repeats an earlier one that operators wrote again, at a
// later era of the log, because the platform had lost it.
func (o Order) reissues(earlier Order) bool {
	return o.Service == earlier.Service && o.Target == earlier.Target && o.Duration == earlier.Duration &&
		feed.Position(o.Place-1).Era() > feed.Position(earlier.Place-1).Era()
}

// Policy limits the requests that a new version may receive before it is known to be good.
type Policy struct {
	// Share and Slack limit the requests that a bad version may receive from all instances: a
	// share of the service's requests from the order to its deadline, plus a fixed number.
	Share float64
	Slack float64
	// StopTimeout is the time within which all instances must stop sending requests to a
	// version after it has shown itself bad. It covers the detection, the update and the
	// expiry of earlier decisions.
	StopTimeout time.Duration
}

// grantStopShare is the share of StopTimeout for which a decision to send requests to the new
// version remains valid. Detecting a bad version and sending the update take the rest.
const grantStopShare = 0.5

// GrantTTL returns how long a decision to send requests to the new version remains valid after
// it was made.
func (p Policy) GrantTTL() time.Duration {
	return time.Duration(grantStopShare * float64(p.StopTimeout))
}
