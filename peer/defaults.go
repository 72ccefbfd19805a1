package peer

import "time"

func (n *Node) queueLength() int {
	return orDefault(n.QueueLength, defaultQueueLength)
}

func (n *Node) maxBody() int {
	return orDefault(n.MaxBody, DefaultMaxBody)
}

func (n *Node) idleTimeout() time.Duration {
	return orDefault(n.IdleTimeout, defaultIdleTimeout)
}

func (n *Node) callTimeout() time.Duration {
	return orDefault(n.CallTimeout, defaultCallTimeout)
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}

	return value
}
