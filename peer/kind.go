package peer

// Kind identifies a type of message on the wire. Kinds below FirstKind are
// reserved for the transport; each package that sends messages owns a range of
// the others.
type Kind uint16

// FirstKind is the lowest kind that a handler may be registered for.
const FirstKind Kind = 16

const kindHello Kind = 1

// form distinguishes one-way messages from the requests, responses and failures
// of calls.
type form uint8

const (
	formMessage form = iota + 1
	formRequest
	formResponse
	formFailure
	formEnd
)

func (f form) valid() bool {
	return f >= formMessage && f < formEnd
}
