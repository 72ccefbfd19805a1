package listener

// phase is what a connection waits for.
type phase int

const (
	// phaseNone is the phase of a connection that is closed or about to be.
	phaseNone phase = iota
	// phaseIdle lasts until the first byte of a request arrives, phaseHeader until its header is
	// complete and phaseBody until its body is.
	phaseIdle
	phaseHeader
	phaseBody
	// phaseServed lasts from then on until the response is written.
	phaseServed
	// phaseRefused lasts from a refusal until the client closes the connection.
	phaseRefused

	phaseCount
)

// evictable are the phases in which a connection may be closed for another one, in this order.
var evictable = [...]phase{phaseRefused, phaseIdle, phaseHeader, phaseBody}

// connections is a list of connections. The zero value is empty.
type connections struct {
	front, back *connection
}

func (l *connections) pushBack(c *connection) {
	c.previous, c.next = l.back, nil

	if l.back == nil {
		l.front = c
	} else {
		l.back.next = c
	}

	l.back = c
}

func (l *connections) remove(c *connection) {
	if c.previous == nil {
		l.front = c.next
	} else {
		c.previous.next = c.next
	}

	if c.next == nil {
		l.back = c.previous
	} else {
		c.next.previous = c.previous
	}

	c.previous, c.next = nil, nil
}
