package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns msg with its structs as arrays and its integers as short as
// they go. The names of fields are not sent, so a field may be appended to a
// message but never moved or removed: a receiver skips what it does not know
// and leaves what is missing at its zero value.
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
