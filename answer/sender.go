package answer

import "monsoonlever/fleet"

// Sender passes a batch to another entry instance. It does not wait; a batch
// may be lost, but those that arrive keep their order.
type Sender interface {
	Send(to fleet.InstanceID, b *Batch)
}
