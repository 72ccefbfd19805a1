// Package claim runs non-idempotent requests at most once across all entry
// instances.
//
// Such a request carries an idempotency key. The entry instance that received
// it appends a claim for the key to the log. It sends the request to a backend
// server only after it has read back its own claim as the first valid claim of
// the key. Every other attempt with the key, on any entry instance, joins that
// claim: it gets the outcome that the claimant appends to the log. A claim is
// never transferred, because a claimant that seems to have crashed may only be
// paused, and it is unknown whether it sent the request.
//
// A claimant appends a void if it will not send the request, or if the backend
// server refused the request before running it. A void ends the generation of
// the key: each claim contains the generation that its instance knew when the
// attempt was admitted, and only claims of the current generation are valid.
// An attempt admitted before the void therefore can't run after it.
//
// Table implements these rules as a state machine without goroutines, clock or
// connections. Executor runs a Table over a logstream.Client.
//
// # Usage
//
//	executor := &claim.Executor{Log: client, Clock: clock.System{}, Config: config}
//	client.Subscribers = append(client.Subscribers, executor)
//	go executor.Run(ctx)
//	verdict, err := executor.Do(ctx, attempt, func(ctx context.Context) (claim.Result, error) {
//		return send(ctx, call)
//	})
//
// A Table can also be used without an Executor:
//
//	table := claim.NewTable(config)
//	for _, command := range table.Submit(now, submission) {
//		switch c := command.(type) {
//		case claim.Append:
//		case claim.Dispatch:
//		case claim.Resolve:
//		}
//	}
package claim
