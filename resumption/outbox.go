package resumption

import (
	"sync"

	"monsoonlever/feed"
	"monsoonlever/fleet"
)

const (
	// sendsPerRecord is how often a record is sent to each holder, since datagrams are lost.
	sendsPerRecord = 2
	// maxQueued bounds the records that wait for one holder, and maxRound those that are sent to it
	// at a time.
	maxQueued = 8192
	maxRound  = 256
)

// outbox holds the records to be sent to each holder. The zero value is empty.
type outbox struct {
	mu     sync.Mutex
	queues map[fleet.InstanceID][]queuedRecord
	wake   feed.Signal
}

// queuedRecord is a record and how often it is still to be sent.
type queuedRecord struct {
	record    Record
	remaining int
}

func (o *outbox) add(to fleet.InstanceID, r Record) {
	o.mu.Lock()

	if o.queues == nil {
		o.queues = make(map[fleet.InstanceID][]queuedRecord)
	}

	if len(o.queues[to]) < maxQueued {
		o.queues[to] = append(o.queues[to], queuedRecord{record: r, remaining: sendsPerRecord})
	}

	o.mu.Unlock()
	o.wake.Send()
}

// take returns the next records for each holder.
func (o *outbox) take() map[fleet.InstanceID][]Record {
	o.mu.Lock()
	defer o.mu.Unlock()

	taken := make(map[fleet.InstanceID][]Record, len(o.queues))

	for to, queue := range o.queues {
		n := min(len(queue), maxRound)
		rest := queue[n:]

		for _, q := range queue[:n] {
			taken[to] = append(taken[to], q.record)

			if q.remaining--; q.remaining > 0 {
				rest = append(rest, q)
			}
		}

		if len(rest) == 0 {
			delete(o.queues, to)
		} else {
			o.queues[to] = rest
		}
	}

	return taken
}
