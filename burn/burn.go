// Package burn reports how fast services burn their error budgets.
//
// A Recorder counts finished requests per service, client account and kind of
// call, over windows of five minutes, an hour, six hours and three days. Its
// Snapshot is JSON, and the snapshots of several instances or of a load run
// merge into one. A Report is worked out of a merged snapshot: what was
// attained of each objective, what is left of the error budget and how fast
// it burns, the cost at the latency target, recomputed tokens, and refusals
// by reason. It renders as a table, as JSON and as one HTML page.
//
// # Usage
//
//	r := &burn.Recorder{Instance: "entry-1"}
//	r.Configure(now, objectives)
//	r.Record(now, burn.Observation{Service: "ledger-llm", Account: "wholesale-1", Outcome: burn.Answered})
//	snapshot := r.Snapshot(now)
//
//	snapshots, err := burn.Fetch(ctx, client, []string{"http://10.0.0.1:9091/v1/burn"})
//	report := burn.NewReport(burn.Merge(snapshots...))
//	err = report.WriteTable(os.Stdout)
package burn
