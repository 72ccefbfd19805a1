package publication

import "monsoonlever/provider"

// Checkpoint says which version was in force after all records through an
// offset. It is also what one instance gives to another that starts while the
// log is down.
type Checkpoint struct {
	Version provider.Offset `msgpack:"version"`
	// Through is the last offset that the statement takes into account.
	Through provider.Offset `msgpack:"through"`
	ID      ID              `msgpack:"id"`
	// Manifest is empty where none was in force.
	Manifest []byte `msgpack:"manifest"`
	Operator string `msgpack:"operator"`
}

func (Checkpoint) kind() recordKind { return kindCheckpoint }
