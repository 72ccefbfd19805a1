package lease

// Kind tells what a record asks for.
type Kind string

// The kinds of record.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
)
