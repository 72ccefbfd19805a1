package ratelimit

import (
	"context"
	"slices"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
)

const (
	// noGrantRetryDelay is the delay before a request to a server is retried if no instance
	// grants permits for the server now.
	noGrantRetryDelay = 300 * time.Millisecond
	// maxReservation bounds how far ahead tokens are reserved for the requests of other
	// instances.
	maxReservation = 2 * time.Second
)

// PermitRequest asks the granter of a server for a permit for one request.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Server   register.Process
	// Rate and Age are the server's announcement as the sender knows it.
	Rate Rate
	Age  time.Duration
	// Patience is how long the request can wait.
	Patience time.Duration
	// MaxRejections is how many rejections a second a brittle server bears.
	MaxRejections int
	// Rejected is set in reports of instances of an earlier version, which request no permit.
	Rejected bool
	// Slots is how many requests the server runs at a time, zero if it is not known. It is sent beside
	// the request, whose format earlier versions know.
	Slots int `msgpack:"-"`
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Granted  bool
	Wait     time.Duration
	// Rate and Age are the server's announcement as the granter knows it.
	Rate Rate
	Age  time.Duration
	// BrittleGrant is sent beside the response, whose format earlier versions know.
	BrittleGrant BrittleGrant `msgpack:"-"`
}

// BrittleGrant is what the holder of a permit for a brittle server reports with it. The zero value
// stands for other servers.
type BrittleGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Level and Probe are those of the permit, which Granter granted for Server.
	Level   int
	Probe   bool
	Server  register.Process
	Granter fleet.InstanceID
}

// Announcements stores the newest announcement of each server.
type Announcements interface {
	// Merge merges an announcement received from another instance and returns the newest one.
	Merge(server register.Process, a Announcement) Announcement
}

// Limiter acquires permits for this instance's requests, and handles the permit requests of
// other instances. Its exported fields are set before its first use.
type Limiter struct {
	Self          fleet.InstanceID
	Clock         clock.Clock
	Granter       *Granter
	Announcements Announcements
	// Leaders returns the current leaders.
	Leaders func() []fleet.InstanceID
	// Send sends a permit request to another instance.
	Send func(to fleet.InstanceID, request PermitRequest)
	// SendReport sends a report to another instance.
	SendReport func(to fleet.InstanceID, report PermitReport)
	// Counters count the permit requests by outcome; nil counts none.
	Counters *Counters

	requests gossip.Requests[PermitResponse]
}

// Acquire requests a permit for one request to a server that announced a limit. The request
// can wait up to maxWait. If no granter responds, nothing is granted.
func (l *Limiter) Acquire(ctx context.Context, server register.Process, limit Announcement, maxWait time.Duration) Permit {
	permit, responded := l.acquire(ctx, server, limit, maxWait)
	l.Counters.record(permit, responded)

	return permit
}

// acquire also reports whether a granter responded.
func (l *Limiter) acquire(ctx context.Context, server register.Process, limit Announcement, maxWait time.Duration) (Permit, bool) {
	ranked := RankLeaders(server, l.Leaders())

	for _, granter := range ranked[:min(grantersPerServer, len(ranked))] {
		if granter == l.Self {
			permit := l.grant(server, limit, maxWait)
			permit.Granter = l.Self

			return permit, true
		}

		response, ok := l.requests.Do(ctx, l.Clock, granter, func(number uint64) {
			l.Send(granter, PermitRequest{
				From: l.Self, Number: number, Server: server, Rate: limit.Rate, Age: l.Clock.Now().Sub(limit.At), Patience: maxWait,
				MaxRejections: limit.MaxRejections, Slots: limit.Slots,
			})
		})
		if ok {
			l.merge(server, response.Rate, response.Age)

			return Permit{
				Granted: response.Granted, Wait: min(max(response.Wait, 0), maxReservation), Granter: granter,
				Level: response.BrittleGrant.Level, Probe: response.BrittleGrant.Probe,
			}, true
		}

		if ctx.Err() != nil {
			break
		}
	}

	return Permit{Wait: noGrantRetryDelay}, false
}

// grant grants a request to a server by this instance's own state.
func (l *Limiter) grant(server register.Process, limit Announcement, maxWait time.Duration) Permit {
	if limit.MaxRejections > 0 {
		return l.Granter.GrantBrittle(l.Clock.Now(), server, limit.Rate, limit.MaxRejections, limit.Slots, maxWait)
	}

	return l.Granter.Grant(l.Clock.Now(), server, limit.Rate, maxWait)
}

// Report reports what happened to a request at a brittle server: to the instance that granted it and
// the first granter, and rejections to both granters.
func (l *Limiter) Report(r PermitReport) {
	ranked := RankLeaders(r.Server, l.Leaders())

	told := ranked[:min(1, len(ranked))]
	if r.Kind == Rejected {
		told = ranked[:min(grantersPerServer, len(ranked))]
	}

	for _, granter := range told {
		l.report(granter, r)
	}

	if r.Granter != "" && !slices.Contains(told, r.Granter) {
		l.report(r.Granter, r)
	}
}

func (l *Limiter) report(granter fleet.InstanceID, r PermitReport) {
	if granter == l.Self {
		l.Granter.Report(l.Clock.Now(), r)

		return
	}

	l.SendReport(granter, r)
}

// HandleReport handles the report of another instance.
func (l *Limiter) HandleReport(r PermitReport) {
	r.MaxRejections = max(r.MaxRejections, 1)
	r.Requests = max(r.Requests, unknownRequests)
	l.Granter.Report(l.Clock.Now(), r)
}

// HandleRequest handles the permit request of another instance.
func (l *Limiter) HandleRequest(request PermitRequest) PermitResponse {
	if request.Rejected {
		l.HandleReport(PermitReport{Server: request.Server, Kind: Rejected, Requests: unknownRequests, MaxRejections: request.MaxRejections})

		return PermitResponse{Number: request.Number}
	}

	newest := l.merge(request.Server, request.Rate, request.Age)
	now := l.Clock.Now()
	response := PermitResponse{Number: request.Number, Granted: true, Rate: newest.Rate, Age: now.Sub(newest.At)}

	if newest.Rate != Unlimited || request.MaxRejections > 0 {
		newest.MaxRejections, newest.Slots = request.MaxRejections, max(request.Slots, 0)
		permit := l.grant(request.Server, newest, min(request.Patience, maxReservation))
		response.Granted, response.Wait = permit.Granted, permit.Wait
		response.BrittleGrant = BrittleGrant{Level: permit.Level, Probe: permit.Probe, Server: request.Server, Granter: l.Self}
	}

	return response
}

// merge merges the announcement that another instance sent, unless it is invalid, and returns
// the newest one.
func (l *Limiter) merge(server register.Process, rate Rate, age time.Duration) Announcement {
	if !rate.Valid() || age < 0 {
		return l.Announcements.Merge(server, Announcement{})
	}

	return l.Announcements.Merge(server, Announcement{Rate: rate, At: l.Clock.Now().Add(-age)})
}

// HandleResponse delivers the response to a pending permit request. A permit for a brittle server
// that arrives after the timeout is given back.
func (l *Limiter) HandleResponse(response PermitResponse) {
	grant := response.BrittleGrant
	if l.requests.Reply(response.Number, response) || !response.Granted || grant.Level == 0 {
		return
	}

	l.report(grant.Granter, PermitReport{
		Server: grant.Server, Kind: Ended, Granter: grant.Granter, Level: grant.Level, Probe: grant.Probe, Requests: unknownRequests,
	})
}
