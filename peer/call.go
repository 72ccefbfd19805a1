package peer

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"monsoonlever/codec"
)

// pendingCalls holds the callers that wait for an answer.
type pendingCalls struct {
	mu      sync.Mutex
	last    uint32
	waiting map[uint32]pendingCall
}

type pendingCall struct {
	address string
	answer  chan frame
}

func (p *pendingCalls) add(address string) (uint32, chan frame) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.waiting == nil {
		p.waiting = make(map[uint32]pendingCall)
	}

	p.last++
	answer := make(chan frame, 1)
	p.waiting[p.last] = pendingCall{address: address, answer: answer}

	return p.last, answer
}

func (p *pendingCalls) remove(id uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.waiting, id)
}

// answer hands f to its caller. A late answer, or one from another remote than
// was asked, finds no caller.
func (p *pendingCalls) answer(address string, f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()

	call, ok := p.waiting[f.call]
	if !ok || call.address != address {
		return
	}

	delete(p.waiting, f.call)
	call.answer <- f
}

// fail ends every call to address; a closed channel means unreachable.
func (p *pendingCalls) fail(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, call := range p.waiting {
		if call.address == address {
			delete(p.waiting, id)
			close(call.answer)
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

	id, answer := n.calls.add(to.Address)
	defer n.calls.remove(id)

	if err := n.enqueue(to, frame{form: formRequest, kind: kind, call: id, body: body}); err != nil {
		return resp, err
	}

	select {
	case <-ctx.Done():
		return resp, ctx.Err()
	case <-n.Clock.After(n.callTimeout()):
		return resp, ErrTimeout
	case f, ok := <-answer:
		if !ok {
			return resp, ErrUnreachable
		}

		return decodeAnswer[Resp](f)
	}
}

func decodeAnswer[Resp any](f frame) (Resp, error) {
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
