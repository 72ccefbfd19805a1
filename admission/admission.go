// Package admission admits, queues or refuses requests on an entry instance.
//
// A Controller checks three things in order: the limits of the client account,
// the concurrency limit of the service, and whether the request can meet its
// deadline behind the requests that are already queued. A request that passes
// all checks runs immediately. If no slot is free, it is queued, with fair
// queueing between the client accounts. All other requests are refused
// immediately, with a delay after which to retry.
//
// The limits of a client account apply across all entry instances. Each instance
// holds a share of every limit, in proportion to its demand, and sends its demand
// to the other instances in a small Demand digest.
//
// All operations take the current time and are deterministic for a given seed. A
// request that is admitted immediately takes no lock; a service's lock is taken
// only while requests are queued for it.
//
// # Usage
//
//	c := &admission.Controller{Instance: "entry-1", Clock: clock.System{}}
//	if err := c.Configure(clk.Now(), config); err != nil {
//		return err
//	}
//	go c.Run(ctx)
//
//	ticket := c.Admit(now, request)
//	decision := ticket.Wait(ctx)
//	if decision.Verdict != admission.Admitted {
//		return decision.RetryAfter
//	}
//	defer func() { c.Finish(clk.Now(), ticket, outcome) }()
//
// A caller that stops waiting calls Abandon. Digests are sent with PublishDemand
// and received with ApplyDemand; AddMember and RemoveMember maintain the set of
// entry instances.
package admission
