package logstream

import "errors"

// The final results of an append other than an offset.
var (
	// ErrRefused means that the entry was never on the log.
	ErrRefused = errors.New("journal append refused")
	// ErrDead means that the append's result was unknown and a later batch of
	// the writer fenced it: the entry never takes effect.
	ErrDead = errors.New("journal entry is dead")
	// ErrUnresolved means that the client stopped, or lost a part of the log,
	// before it knew: the entry may be in effect.
	ErrUnresolved = errors.New("journal append is unresolved")
	// ErrDecode is wrapped by the error of a record that can't be decoded.
	ErrDecode = errors.New("decode journal batch")
)
