package peer

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// Send queues msg for the target and returns immediately.
func (n *Node) Send(to Target, kind Kind, msg any) error {
	body, err := encode(msg)
	if err != nil {
		return merry.Prepend(err, "encode message")
	}

	return n.enqueue(to, frame{form: formMessage, kind: kind, body: body})
}

func (n *Node) enqueue(to Target, f frame) error {
	if err := n.checkTarget(to, f); err != nil {
		return err
	}

	droppable := f.form == formMessage && slices.Contains(n.Droppable, f.kind)

	for {
		l := n.link(to.Address)
		if l == nil {
			return ErrStopped
		}

		if c := l.current(); to.ID != "" && c != nil && c.sender.id != to.ID {
			return &RefusalError{reason: ReasonIdentity}
		}

		if queued, err := l.enqueue(f, droppable); queued {
			return err
		}
	}
}

func (n *Node) checkTarget(to Target, f frame) error {
	if to.Address == "" {
		return ErrNoAddress
	}

	if to.Address == n.Advertise || to.ID == n.ID {
		return ErrSelf
	}

	if len(f.body) > n.maxBody() {
		return ErrTooLarge
	}

	return nil
}
