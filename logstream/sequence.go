package logstream

// Sequence numbers the entries of one incarnation of a writer, from 1.
type Sequence uint64
