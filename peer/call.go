package peer

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"monsoonlever/codec"
)

// pendingCalls holds the calls that wait for a response, by call number.
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

// deliver passes the response f from the remote at address to its caller. It
// discards a response that arrives after the call has ended or that comes from
// another remote than the called one.
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

// fail ends every call to address. It closes the response channels, which makes
// Call return ErrUnreachable.
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

// Call sends a request and waits for its response until ctx ends or the node's
// CallTimeout has passed. After ErrTimeout and ErrUnreachable the remote may or
// may not have handled the request.
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
