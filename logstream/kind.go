package logstream

// Kind tells what the payload of an entry is.
type Kind uint16

// KindFence marks an entry without payload that only ends the sequences
// before it. The kinds of other packages start at KindFirst.
const (
	KindFence Kind = 1
	KindFirst Kind = 16
)
