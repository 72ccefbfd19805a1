// Package lease elects the holder of a role, such as the controller of a region, among the
// entry instances. It needs only the records of an append-only log.
//
// The order of the log decides: an Acquire, Renew or Release record is valid only if it names
// the offset of the last valid record of its role, so the first record in the log wins. The
// offset of a valid Acquire record is the fencing token of the grant.
//
// A holder counts its term from before it sent the record, on its monotonic clock, minus a
// margin for clock drift. A successor waits for the term plus the maximum delay of an order,
// counted from when it read the record, plus the same margin. So at most one process assumes
// that it holds the role as long as the clocks stay within the drift bound.
//
// A holder can still be paused between Check and the send of an order. Each order therefore
// states the full desired state and carries the fencing token, and a Corrector reads the state
// back and repeats the order if needed.
//
// Core and Corrector are deterministic: their inputs are the time and the records, their
// outputs are commands. They are not safe for concurrent use.
//
// # Usage
//
//	core, err := lease.NewCore(lease.DefaultConfig(), "controller/dk-east", self)
//	for _, entry := range records {
//		core.Observe(now, entry.Offset, entry.Record)
//	}
//	core.CaughtUp(now)
//	for _, command := range core.Step(now) {
//		append(command.Record)
//	}
//	fence, err := core.Check(now)
//	if err != nil {
//		return err
//	}
package lease
