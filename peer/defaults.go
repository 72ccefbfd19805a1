package peer

import (
	"cmp"
	"time"
)

func (n *Node) queueLength() int {
	return cmp.Or(n.QueueLength, defaultQueueLength)
}

func (n *Node) maxBody() int {
	return cmp.Or(n.MaxBody, DefaultMaxBody)
}

func (n *Node) idleTimeout() time.Duration {
	return cmp.Or(n.IdleTimeout, defaultIdleTimeout)
}

func (n *Node) callTimeout() time.Duration {
	return cmp.Or(n.CallTimeout, defaultCallTimeout)
}
