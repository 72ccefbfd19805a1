package claim

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/logstream"
)

// Kinds of the records of this package.
const (
	KindClaim   = logstream.KindFirst
	KindOutcome = logstream.KindFirst + 1
	KindVoid    = logstream.KindFirst + 2
)

// claimRecord claims a key for the instance that wrote the record.
type claimRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Digest     Digest
}

// outcomeRecord contains the outcome of the claimant's call.
type outcomeRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Digest     Digest
	// Broken is set if the claimant doesn't know whether its call ran.
	Broken bool
	// Kept is set if Body is the complete response body. Larger bodies are not stored.
	Kept   bool
	Status int
	Header []Field
	Body   []byte
}

// voidRecord ends a generation of a key whose call certainly did not run.
type voidRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key        KeyID
	Generation uint32
	Request    AttemptID
	Reason     Reason
}

// encode returns the payload of a record. It panics on an error, because the fields of
// every record type can be encoded.
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
