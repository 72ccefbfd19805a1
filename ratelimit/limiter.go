package ratelimit

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
)

const (
	// noGrantRetryDelay is when a server is tried again for which nobody grants requests now.
	noGrantRetryDelay = 300 * time.Millisecond
	// maxReservation bounds how far ahead the requests of others may be promised.
	maxReservation = 2 * time.Second
)

// PermitRequest is the question for a permit.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Server   register.Process
	// Rate and Age are what the asker knows of the server's announcement.
	Rate Rate
	Age  time.Duration
	// Patience is how long the request can wait.
	Patience time.Duration
}

// PermitResponse is the answer to an Ask.
type PermitResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Granted  bool
	Wait     time.Duration
	// Rate and Age are what the granter knows of the server's announcement.
	Rate Rate
	Age  time.Duration
}

// Announcements keeps the newest announcements of servers.
type Announcements interface {
	// Merge takes in what another instance knows of a server and returns the newest.
	Merge(server register.Process, a Announcement) Announcement
}

// Limiter asks for permits, and answers the questions of others. Its exported fields are set
// before its first use.
type Limiter struct {
	Self          fleet.InstanceID
	Clock         clock.Clock
	Granter       *Granter
	Announcements Announcements
	// Leaders returns the instances that lead.
	Leaders func() []fleet.InstanceID
	// Send sends a question to another instance.
	Send func(to fleet.InstanceID, ask PermitRequest)
	// Counters count the questions; nil counts none.
	Counters *Counters

	requests gossip.Requests[PermitResponse]
}

// Ask asks for one request to a server that announced a limit. patience is how long the
// request can wait. Where no granter replies nothing is granted.
func (l *Limiter) Acquire(ctx context.Context, server register.Process, limit Announcement, maxWait time.Duration) Permit {
	permit, answered := l.acquire(ctx, server, limit, maxWait)
	l.Counters.record(permit, answered)

	return permit
}

// acquire reports beside the permit whether a granter answered.
func (l *Limiter) acquire(ctx context.Context, server register.Process, limit Announcement, maxWait time.Duration) (Permit, bool) {
	ranked := RankLeaders(server, l.Leaders())

	for _, granter := range ranked[:min(grantersPerServer, len(ranked))] {
		if granter == l.Self {
			return l.Granter.Grant(l.Clock.Now(), server, limit.Rate, maxWait), true
		}

		reply, ok := l.requests.Do(ctx, l.Clock, granter, func(number uint64) {
			l.Send(granter, PermitRequest{
				From: l.Self, Number: number, Server: server, Rate: limit.Rate, Age: l.Clock.Now().Sub(limit.At), Patience: maxWait,
			})
		})
		if ok {
			l.merge(server, reply.Rate, reply.Age)

			return Permit{Granted: reply.Granted, Wait: min(max(reply.Wait, 0), maxReservation)}, true
		}

		if ctx.Err() != nil {
			break
		}
	}

	return Permit{Wait: noGrantRetryDelay}, false
}

// HandleRequest answers another instance's question.
func (l *Limiter) HandleRequest(request PermitRequest) PermitResponse {
	newest := l.merge(request.Server, request.Rate, request.Age)
	now := l.Clock.Now()
	reply := PermitResponse{Number: request.Number, Granted: true, Rate: newest.Rate, Age: now.Sub(newest.At)}

	if newest.Rate != Unlimited {
		permit := l.Granter.Grant(now, request.Server, newest.Rate, min(request.Patience, maxReservation))
		reply.Granted, reply.Wait = permit.Granted, permit.Wait
	}

	return reply
}

// merge takes in what another instance knows, unless its message is damaged, and returns
// the newest.
func (l *Limiter) merge(server register.Process, rate Rate, age time.Duration) Announcement {
	if !rate.Valid() || age < 0 {
		return l.Announcements.Merge(server, Announcement{})
	}

	return l.Announcements.Merge(server, Announcement{Rate: rate, At: l.Clock.Now().Add(-age)})
}

// HandleResponse takes the reply to a question in. One that comes too late is dropped.
func (l *Limiter) HandleResponse(response PermitResponse) {
	l.requests.Reply(response.Number, response)
}
