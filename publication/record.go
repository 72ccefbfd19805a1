package publication

// Record is the payload of one record of the manifest stream: a Published, a
// Fence or a Checkpoint.
type Record interface {
	kind() recordKind
}

// recordKind is the second byte of an encoded record.
type recordKind byte

const (
	kindPublished  recordKind = 1
	kindFence      recordKind = 2
	kindCheckpoint recordKind = 3
)
