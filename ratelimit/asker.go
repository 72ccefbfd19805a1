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
	// retryLater is when a server is tried again for which nobody grants requests now.
	retryLater = 300 * time.Millisecond
	// maxPatience bounds how far ahead the requests of others may be promised.
	maxPatience = 2 * time.Second
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

	questions gossip.Requests[PermitResponse]
}

// Ask asks for one request to a server that announced a limit. patience is how long the
// request can wait. Where no granter replies nothing is granted.
func (a *Limiter) Acquire(ctx context.Context, server register.Process, limit Announcement, patience time.Duration) Permit {
	permit, answered := a.ask(ctx, server, limit, patience)
	a.Counters.asked(permit, answered)

	return permit
}

// ask reports beside the permit whether a granter answered.
func (a *Limiter) ask(ctx context.Context, server register.Process, limit Announcement, patience time.Duration) (Permit, bool) {
	ranked := RankLeaders(server, a.Leaders())

	for _, granter := range ranked[:min(granters, len(ranked))] {
		if granter == a.Self {
			return a.Granter.Grant(a.Clock.Now(), server, limit.Rate, patience), true
		}

		reply, ok := a.questions.Do(ctx, a.Clock, granter, func(number uint64) {
			a.Send(granter, PermitRequest{
				From: a.Self, Number: number, Server: server, Rate: limit.Rate, Age: a.Clock.Now().Sub(limit.At), Patience: patience,
			})
		})
		if ok {
			a.merge(server, reply.Rate, reply.Age)

			return Permit{Granted: reply.Granted, Wait: min(max(reply.Wait, 0), maxPatience)}, true
		}

		if ctx.Err() != nil {
			break
		}
	}

	return Permit{Wait: retryLater}, false
}

// HandleRequest answers another instance's question.
func (a *Limiter) HandleRequest(ask PermitRequest) PermitResponse {
	known := a.merge(ask.Server, ask.Rate, ask.Age)
	now := a.Clock.Now()
	reply := PermitResponse{Number: ask.Number, Granted: true, Rate: known.Rate, Age: now.Sub(known.At)}

	if known.Rate != Unlimited {
		permit := a.Granter.Grant(now, ask.Server, known.Rate, min(ask.Patience, maxPatience))
		reply.Granted, reply.Wait = permit.Granted, permit.Wait
	}

	return reply
}

// merge takes in what another instance knows, unless its message is damaged, and returns
// the newest.
func (a *Limiter) merge(server register.Process, rate Rate, age time.Duration) Announcement {
	if !rate.Valid() || age < 0 {
		return a.Announcements.Merge(server, Announcement{})
	}

	return a.Announcements.Merge(server, Announcement{Rate: rate, At: a.Clock.Now().Add(-age)})
}

// HandleResponse takes the reply to a question in. One that comes too late is dropped.
func (a *Limiter) HandleResponse(r PermitResponse) { a.questions.Reply(r.Number, r) }
