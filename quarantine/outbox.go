package quarantine

// sendsPerLoss is how often each loss is sent to the peers: a few of 100 datagrams are lost, but
// hardly ever three in a row.
const sendsPerLoss = 3

// outbox holds what is still to be sent to the peers, identified by K. The zero value is empty.
type outbox[K comparable] struct {
	remainingSends map[K]int
}

func (o *outbox[K]) add(key K) {
	if o.remainingSends == nil {
		o.remainingSends = make(map[K]int)
	}

	o.remainingSends[key] = sendsPerLoss
}

// take returns what is to be sent now.
func (o *outbox[K]) take() []K {
	keys := make([]K, 0, len(o.remainingSends))

	for key, left := range o.remainingSends {
		keys = append(keys, key)

		if left == 1 {
			delete(o.remainingSends, key)
		} else {
			o.remainingSends[key] = left - 1
		}
	}

	return keys
}

func (o *outbox[K]) empty() bool { return len(o.remainingSends) == 0 }
