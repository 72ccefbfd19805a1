package membership

import "k8s.io/klog/v2"

// orders is what the node's owner asked for since the last step.
type orders struct {
	payload  []byte
	set      bool
	urgency  Urgency
	leave    bool
	discover bool
}

// SetPayload replaces the node's payload and returns at once.
func (g *Group) SetPayload(data []byte, urgency Urgency) error {
	if len(data) > MaxPayload {
		return ErrPayloadTooLarge
	}

	g.order(func(o *orders) {
		o.payload = append([]byte(nil), data...)
		o.set = true
		o.urgency = max(o.urgency, urgency)
	})

	return nil
}

// Leave announces that the node drains and takes nothing new. The end of Run
// announces that it has left.
func (g *Group) Leave() {
	g.order(func(o *orders) { o.leave = true })
}

func (g *Group) order(change func(*orders)) {
	g.mu.Lock()
	change(&g.orders)
	g.mu.Unlock()

	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Group) handleOrders() {
	g.mu.Lock()
	o := g.orders
	listed := g.listed
	g.orders = orders{}
	g.mu.Unlock()

	now := g.Clock.Now()

	if o.discover {
		g.core.Discover(now, append(append([]string(nil), g.Seeds...), listed...))
	}

	if o.leave {
		g.take(g.core.Leave(now))
	}

	if o.set {
		step, err := g.core.SetPayload(now, o.payload, o.urgency)
		if err != nil {
			klog.ErrorS(err, "payload refused")
		}

		g.take(step)
	}

	g.publish()
}
