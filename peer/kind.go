package peer

// Kind numbers a type of message. Kinds below FirstKind belong to the
// transport; each package that sends messages owns a range above it.
type Kind uint16

// FirstKind is the lowest kind that a handler may be registered for.
const FirstKind Kind = 16

const kindHello Kind = 1

// form says which part of an exchange a frame is.
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
