package answer

import "monsoonlever/fleet"

// outbox gathers one batch for each peer, in the order of first use.
type outbox struct {
	from    fleet.InstanceID
	order   []fleet.InstanceID
	batches map[fleet.InstanceID]*Batch
}

func (o *outbox) to(id fleet.InstanceID) *Batch {
	if b, ok := o.batches[id]; ok {
		return b
	}

	if o.batches == nil {
		o.batches = make(map[fleet.InstanceID]*Batch)
	}

	b := &Batch{From: o.from}
	o.batches[id] = b
	o.order = append(o.order, id)

	return b
}

func (o *outbox) drain(out []StoreCommand) []StoreCommand {
	for _, id := range o.order {
		out = append(out, Send{To: id, Batch: o.batches[id]})
		delete(o.batches, id)
	}

	o.order = o.order[:0]

	return out
}
