// Package routing chooses a backend server for a request.
//
// Table holds what is known of every backend server: the lagging instance
// list, reclaim notices, what a server or a peer says, load reports and the
// outcome of calls. Pick reads one immutable snapshot and a few atomics; it
// takes no lock, makes no call and allocates nothing. The time and the random
// source are arguments, so that a run can be repeated exactly.
//
// # Usage
//
//	table := &routing.Table{Domain: "ballerup-a"}
//	table.UpdateList(now, listings)
//	table.UpdateState(now, id, state)
//	table.Report(now, id, report)
//
//	request := routing.NewRequest(routing.NewKey("ledger-llm", "m", "v1", "")).
//		WithPrefix(prefix).
//		WithRepeatable()
//	choice, err := table.Pick(now, random, request)
//	if err != nil {
//		return err
//	}
//	if !choice.Sent(now) {
//		// The server began to leave after it was picked: pick again.
//	}
//	choice.Done(now, latency, tokens) // or choice.Failed(now, routing.FailDial)
//
// A timer calls Tick, which ejects and readmits servers:
//
//	table.Tick(now, random)
package routing
