// Package lease lets any entry instance hold a role, such as controller of a
// region, by records on the log alone.
//
// The log decides: an Acquire, Renew or Release is valid only if it names the
// offset of the last valid record of its role, so the first in log order wins.
// The offset of a valid Acquire is the fencing number of the grant.
//
// A holder counts its term from before it sent the record, on its monotonic
// clock, less a margin for drift. A successor waits the term and the longest
// flight of an order from when it read the record, plus that margin. So at most
// one process believes that it holds the role as long as clocks keep the bound.
//
// A holder can still be paused between Check and the send of an order. Orders
// are therefore absolute, carry the fencing number, and are read back and
// corrected by a Corrector.
//
// Core and Corrector are deterministic: the time and the records go in and
// commands come out. They are not safe for concurrent use.
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
