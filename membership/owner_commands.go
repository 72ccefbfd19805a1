package membership

import "k8s.io/klog/v2"

// ownerCommands holds the calls of SetPayload and Leave, and the reads of the
// instance list, that the core has not processed yet.
type ownerCommands struct {
	payload    []byte
	setPayload bool
	urgency    Urgency
	leave      bool
	discover   bool
}

// SetPayload replaces the node's payload. It returns without waiting for the
// payload to be sent.
func (g *Group) SetPayload(data []byte, urgency Urgency) error {
	if len(data) > MaxPayload {
		return ErrPayloadTooLarge
	}

	g.queueCommand(func(o *ownerCommands) {
		o.payload = append([]byte(nil), data...)
		o.setPayload = true
		o.urgency = max(o.urgency, urgency)
	})

	return nil
}

// Leave announces that the node drains and accepts no new work. Run announces
// that the node has left when its context ends.
func (g *Group) Leave() {
	g.queueCommand(func(o *ownerCommands) { o.leave = true })
}

func (g *Group) queueCommand(change func(*ownerCommands)) {
	g.mu.Lock()
	change(&g.commands)
	g.mu.Unlock()

	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Group) handleCommands() {
	g.mu.Lock()
	o := g.commands
	listed := g.listedAddresses
	g.commands = ownerCommands{}
	g.mu.Unlock()

	now := g.Clock.Now()

	if o.discover {
		g.core.Discover(now, append(append([]string(nil), g.Seeds...), listed...))
	}

	if o.leave {
		g.execute(g.core.Leave(now))
	}

	if o.setPayload {
		step, err := g.core.SetPayload(now, o.payload, o.urgency)
		if err != nil {
			klog.ErrorS(err, "payload rejected")
		}

		g.execute(step)
	}

	g.publishView()
}
