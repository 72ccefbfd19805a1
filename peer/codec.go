package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns msg in msgpack, with structs as arrays and integers in their
// shortest form. Field names are not sent, so a field may be appended to a
// message but never moved or removed: a receiver skips unknown trailing fields
// and leaves missing ones at their zero values.
func encode(msg any) ([]byte, error) {
	var buffer bytes.Buffer

	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)

	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)

	if err := encoder.Encode(msg); err != nil {
		return nil, err
	}

	return buffer.Bytes(), nil
}
