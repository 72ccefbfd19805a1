package answer

import (
	"context"
	"errors"
	"io"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// attempt is one open stream and how to stop it.
type attempt struct {
	id     backend.AttemptID
	server fleet.InstanceID
	engine backend.Engine
	ctx    context.Context
	cancel context.CancelFunc
}

// read passes the events of a stream on until it ends.
func (u *run) read(a *attempt, g backend.GenerateRequest, release func(error, int)) {
	tokens, err := u.readStream(a, g)
	if release != nil {
		release(err, tokens)
	}

	if err != nil {
		u.send(arrival{attempt: a.id, err: err})
	}
}

// readStream returns how many tokens the stream brought.
func (u *run) readStream(a *attempt, g backend.GenerateRequest) (int, error) {
	stream, err := a.engine.Generate(a.ctx, g)
	if err != nil {
		return 0, err
	}

	tokens := 0

	// A stream that hangs is freed by closing it.
	closeStream := context.AfterFunc(a.ctx, func() { _ = stream.Close() })
	defer func() {
		if closeStream() {
			_ = stream.Close()
		}
	}()

	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return tokens, io.ErrUnexpectedEOF
		}

		if err != nil {
			return tokens, err
		}

		u.send(arrival{attempt: a.id, stream: event})

		if event.Finish != "" {
			return tokens, nil
		}

		tokens++
	}
}

func (u *run) send(a arrival) {
	select {
	case u.arrivals <- a:
	case <-u.ctx.Done():
	}
}
