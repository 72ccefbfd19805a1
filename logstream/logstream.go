// Package logstream keeps this system's own records on the platform's log.
//
// One append carries a batch of entries of one writer, because the log takes
// only several hundred appends a second for the whole deployment. Each batch
// names its writer, the writer's incarnation, the sequence of its first entry
// and the time it was written. Every reader applies the same rules to the
// same records, so that all of them accept the same entries:
//
//   - A batch whose sequence is not greater than the greatest one seen of its
//     writer's incarnation is dropped. A repeat never takes effect twice, and
//     an append that takes effect late is dead once a later batch of the same
//     writer is on the log. A batch is therefore a fence for all before it.
//   - A batch that took effect more than MaxDelay before or after the time it
//     was written at is dropped. This bounds how long readers must remember
//     the sequence of a writer, and how far a truncated history can mislead.
//   - A record that can't be decoded is skipped and counted.
//
// A writer whose append has an unknown result never appends the same entries
// as new ones. It reads on until it finds the batch, or a later one of its
// own, and appends an empty fence if it has nothing else to write.
//
// # Usage
//
//	client := &logstream.Client{
//		Log:              log,
//		Clock:            clock.System{},
//		Stream:           "claims",
//		Writer:           "entry-1",
//		Incarnation:      incarnation,
//		AppendsPerSecond: 20,
//		Subscribers:      []logstream.Subscriber{keeper},
//	}
//	go client.Run(ctx)
//	ticket := client.Append(kind, payload)
//	offset, err := ticket.Wait(ctx)
package logstream
