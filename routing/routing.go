// Package routing chooses a backend server for a request.
//
// Table combines the sources of information about backend servers: the instance
// list, which lags, reclaim notices, reports of servers and of other entry
// instances, and the outcomes of calls. Pick reads one immutable snapshot and a
// few atomics; it takes no lock, does no I/O and allocates nothing. The time and
// the random source are arguments, so that runs are reproducible.
//
// # Usage
//
//	table := &routing.Table{Self: "entry-1", Domain: "ballerup-a"}
//	table.UpdateEntryCount(now, 9)
//	table.UpdateList(now, listings)
//	table.UpdateEngineState(now, id, state)
//	table.Report(now, id, report)
//
//	request := routing.NewRequest(routing.NewKey("ledger-llm", "m", "v1", "")).
//		WithPrefix(prefix).
//		WithIdempotent()
//	choice, err := table.Pick(now, random, request)
//	if err != nil {
//		return err
//	}
//	if !choice.Begin(now) {
//		// The server began to leave after it was picked: pick another one.
//	}
//	choice.Done(now, latency, tokens) // or choice.Failed(now, routing.FailDial)
//
// Tick, called periodically, ejects and readmits servers:
//
//	table.Tick(now, random)
package routing
