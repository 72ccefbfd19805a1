package claim

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/logstream"
)

// The kinds of this package's records.
const (
	KindClaim   = logstream.KindFirst
	KindOutcome = logstream.KindFirst + 1
	KindVoid    = logstream.KindFirst + 2
)

// claimRecord claims a key for its writer.
type claimRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Digest     Digest
}

// outcomeRecord tells how the claimant's call ended.
type outcomeRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Digest     Digest
	// Broken is set if the claimant can't tell whether its call ran.
	Broken bool
	// Kept is set if Body is the whole body.
	Kept   bool
	Status int
	Header []Field
	Body   []byte
}

// voidRecord ends a generation of a key of which the claimant sent nothing.
type voidRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Reason     Reason
}

// encode returns the payload of a record, whose fields always can be encoded.
func encode(record any) []byte {
	data, err := msgpack.Marshal(record)
	if err != nil {
		panic(merry.Prepend(err, "encode claim record"))
	}

	return data
}

func decode(data []byte, record any) error {
	return merry.Prepend(codec.Unmarshal(data, record), "decode claim record")
}
