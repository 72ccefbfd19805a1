// Package claim runs requests that may not be repeated at most once over all
// entry instances.
//
// A request of that kind carries an idempotency key. The entry instance that
// got it puts a claim for the key on the log, and sends the request to a
// backend server only once it has read its own claim back as the first valid
// one of the key. Every other attempt with the key, at any entry instance,
// joins that claim: it gets the outcome that the claimant puts on the log. A
// claim is never transferred, because a claimant that seems dead may only be
// paused. What it may have sent stays unknown.
//
// A claimant that will not send, or whose call the backend server refused
// before running it, puts a void on the log. A void ends the generation of
// the key: claims carry the generation that their writer knew when the
// attempt was admitted, and only the present one is valid. So no attempt
// from before the void can run after it.
//
// Table decides all this as a step machine without goroutine, clock or
// connection. Keeper runs a Table over a journal.Client.
//
// # Usage
//
//	keeper := &claim.Keeper{Journal: client, Clock: clock.System{}, Config: config}
//	client.Subscribers = append(client.Subscribers, keeper)
//	go keeper.Run(ctx)
//	verdict, err := keeper.Do(ctx, request, func(ctx context.Context) (claim.Result, error) {
//		return send(ctx, call)
//	})
//
// A Table alone is driven by hand:
//
//	table := claim.NewTable(config)
//	for _, command := range table.Submit(now, request) {
//		switch c := command.(type) {
//		case claim.Append:
//		case claim.Dispatch:
//		case claim.Answer:
//		}
//	}
package claim
