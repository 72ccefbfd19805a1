// Package admission admits, queues or refuses requests on an entry instance.
//
// A Controller checks three things in turn: the limits of the client account,
// the concurrency limit of the service, and whether the deadline can be met
// behind what is queued already. A request that passes all three runs, one
// that has to wait is queued fairly between the client accounts, and anything
// else is refused in the same step, with a time after which to come back.
//
// The limits of a client account hold over all entry instances. Each instance
// holds a share of every limit, in proportion to the demand it sees, and tells
// the others its demand in a small Demand digest.
//
// All steps take the current time and are deterministic for a given seed. The
// path of an admitted request takes no lock; a service's lock is taken only
// while requests are queued for it.
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
// A caller that stops waiting calls Abandon. Digests are exchanged with Demand
// and ApplyDemand, members are told with Join and Leave.
package admission
