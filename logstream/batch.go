package logstream

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/fleet"
)

// version is the first byte of every record.
const version = 1

// maxEntries bounds what a decoded batch may claim to hold.
const maxEntries = 1 << 16

// Batch is the content of one record: consecutive entries of one writer.
type Batch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Writer      fleet.InstanceID
	Incarnation fleet.Incarnation
	// WrittenMilli is the writer's time in milliseconds since 1970.
	WrittenMilli int64
	// First is the sequence of Items[0].
	First Sequence
	Items []Item
}

// Item is one entry of a batch.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    Kind
	Payload []byte
}

// Written returns the writer's time.
func (b Batch) Written() time.Time {
	return time.UnixMilli(b.WrittenMilli)
}

// Last returns the sequence of the last item.
func (b Batch) Last() Sequence {
	return b.First + Sequence(len(b.Items)) - 1
}

// Encode returns the record of a batch.
func (b Batch) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(&b)
	if err != nil {
		return nil, merry.Prepend(err, "encode journal batch")
	}

	return append([]byte{version}, body...), nil
}

// DecodeBatch returns the batch of a record, or an error that wraps ErrDecode.
func DecodeBatch(data []byte) (Batch, error) {
	if len(data) == 0 || data[0] != version {
		return Batch{}, merry.Wrap(ErrDecode, merry.AppendMessage("unknown version"))
	}

	var b Batch
	if err := codec.Unmarshal(data[1:], &b); err != nil {
		return Batch{}, merry.Wrap(ErrDecode, merry.AppendMessage(err.Error()))
	}

	if b.First == 0 || len(b.Items) == 0 || len(b.Items) > maxEntries || b.Last() < b.First {
		return Batch{}, merry.Wrap(ErrDecode, merry.AppendMessage("bad sequence"))
	}

	return b, nil
}
