package peer

import (
	"context"
	"errors"

	"monsoonlever/codec"
)

type (
	messageHandler func(from Sender, body []byte) error
	callHandler    func(ctx context.Context, from Sender, body []byte) ([]byte, error)
)

// Handle registers f for messages of a kind; it must be called before Run. The
// messages of one connection reach f in the order received. f must not block,
// since it runs in the goroutine that reads the connection.
func Handle[T any](n *Node, kind Kind, f func(from Sender, msg T)) {
	if n.messageHandlers == nil {
		n.messageHandlers = make(map[Kind]messageHandler)
	}

	n.messageHandlers[kind] = func(from Sender, body []byte) error {
		var msg T
		if err := codec.Unmarshal(body, &msg); err != nil {
			return &FrameError{fault: FaultBody, value: uint64(kind)}
		}

		f(from, msg)

		return nil
	}
}

// HandleCall registers f for requests of a kind; it must be called before Run.
// Each request runs in its own goroutine. A request above the limit of running
// requests fails, as does one for which f returns an error; the caller receives
// a RemoteError.
func HandleCall[Req, Resp any](n *Node, kind Kind, f func(ctx context.Context, from Sender, req Req) (Resp, error)) {
	if n.callHandlers == nil {
		n.callHandlers = make(map[Kind]callHandler)
	}

	n.callHandlers[kind] = func(ctx context.Context, from Sender, body []byte) ([]byte, error) {
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			countFault(FaultBody)

			return nil, &FrameError{fault: FaultBody, value: uint64(kind)}
		}

		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}

		return encode(&resp)
	}
}

// dispatch passes one received frame to its handler, or a response to the caller
// that waits for it.
func (n *Node) dispatch(ctx context.Context, c *conn, f frame) error {
	switch f.form {
	case formResponse, formFailure:
		n.calls.deliver(c.sender.address, f)

		return nil
	case formRequest:
		return n.serveRequest(ctx, c.sender, f)
	default:
		handler, ok := n.messageHandlers[f.kind]
		if !ok {
			return &FrameError{fault: FaultKind, value: uint64(f.kind)}
		}

		return handler(c.sender, f.body)
	}
}

// serveRequest runs the handler of a request in a goroutine of its own, so that
// reading the connection continues.
func (n *Node) serveRequest(ctx context.Context, from Sender, f frame) error {
	handler, ok := n.callHandlers[f.kind]
	if !ok {
		n.respond(from, failure(f, "no handler"))

		return &FrameError{fault: FaultKind, value: uint64(f.kind)}
	}

	select {
	case n.callSlots <- struct{}{}:
	default:
		n.respond(from, failure(f, "too many running requests"))

		return nil
	}

	n.tasks.Go(func() {
		defer func() { <-n.callSlots }()

		body, err := handler(ctx, from, f.body)
		if err != nil {
			n.respond(from, failure(f, err.Error()))

			return
		}

		n.respond(from, frame{form: formResponse, kind: f.kind, call: f.call, body: body})
	})

	return nil
}

// respond queues the response to a request. A response that cannot be queued is
// counted as undeliverable, and the caller times out.
func (n *Node) respond(to Sender, f frame) {
	if err := n.enqueue(to.Target(), f); err != nil {
		undeliverableFrames.Inc()
	}
}

func failure(request frame, message string) frame {
	return frame{form: formFailure, kind: request.kind, call: request.call, body: []byte(message)}
}

// countFrameError counts err by its fault if it is a FrameError.
func countFrameError(err error) {
	var fault *FrameError
	if errors.As(err, &fault) {
		countFault(fault.fault)
	}
}
