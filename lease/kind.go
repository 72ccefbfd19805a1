package lease

// Kind is the operation that a record requests.
type Kind string

// The kinds of records.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
)
