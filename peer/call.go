package peer

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"monsoonlever/codec"
)

// pendingCalls holds the callers that wait for an answer.
type pendingCalls struct {
	mu     sync.Mutex
	lastID uint32
	byID   map[uint32]pendingCall
}

type pendingCall struct {
	address  string
	response chan frame
}

func (p *pendingCalls) add(address string) (uint32, chan frame) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.byID == nil {
		p.byID = make(map[uint32]pendingCall)
	}

	p.lastID++
	response := make(chan frame, 1)
	p.byID[p.lastID] = pendingCall{address: address, response: response}

	return p.lastID, response
}

func (p *pendingCalls) remove(id uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.byID, id)
}

// deliver hands f to its caller. A late deliver, or one from another remote than
// was asked, finds no caller.
func (p *pendingCalls) deliver(address string, f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()

	call, ok := p.byID[f.call]
	if !ok || call.address != address {
		return
	}

	delete(p.byID, f.call)
	call.response <- f
}

// fail ends every call to address; a closed channel means unreachable.
func (p *pendingCalls) fail(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, call := range p.byID {
		if call.address == address {
			delete(p.byID, id)
			close(call.response)
		}
	}
}

func (n *Node) failCalls(address string) {
	n.calls.fail(address)
}

// Call sends a request and waits for its response, until ctx ends or the
// node's CallTimeout has passed. After ErrTimeout and ErrUnreachable the
// request may have been handled or not.
func Call[Req, Resp any](ctx context.Context, n *Node, to Target, kind Kind, req Req) (Resp, error) {
	var resp Resp

	body, err := encode(&req)
	if err != nil {
		return resp, merry.Prepend(err, "encode request")
	}

	id, response := n.calls.add(to.Address)
	defer n.calls.remove(id)

	if err := n.enqueue(to, frame{form: formRequest, kind: kind, call: id, body: body}); err != nil {
		return resp, err
	}

	select {
	case <-ctx.Done():
		return resp, ctx.Err()
	case <-n.Clock.After(n.callTimeout()):
		return resp, ErrTimeout
	case f, ok := <-response:
		if !ok {
			return resp, ErrUnreachable
		}

		return decodeResponse[Resp](f)
	}
}

func decodeResponse[Resp any](f frame) (Resp, error) {
	var resp Resp

	if f.form == formFailure {
		return resp, &RemoteError{message: string(f.body)}
	}

	if err := codec.Unmarshal(f.body, &resp); err != nil {
		countFault(FaultBody)

		return resp, &FrameError{fault: FaultBody, value: uint64(f.kind)}
	}

	return resp, nil
}
