package publication

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
)

const (
	// format is the first byte of a record. A reader skips formats that it does
	// not know.
	format     byte = 1
	headerSize int  = 2
)

// ErrUndecodable is wrapped by the error of Decode.
var ErrUndecodable = errors.New("record cannot be decoded")

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, merry.Prepend(err, "encode manifest record")
	}

	return append([]byte{format, byte(r.kind())}, body...), nil
}

// Decode returns the record that Encode made bytes of.
func Decode(data []byte) (Record, error) {
	if len(data) < headerSize || data[0] != format {
		return nil, merry.Prepend(ErrUndecodable, "unknown format")
	}

	body := data[headerSize:]

	switch recordKind(data[1]) {
	case kindPublished:
		return decodeBody[Published](body)
	case kindFence:
		return decodeBody[Fence](body)
	case kindCheckpoint:
		return decodeBody[Checkpoint](body)
	default:
		return nil, merry.Prepend(ErrUndecodable, "unknown kind")
	}
}

func decodeBody[T Record](body []byte) (Record, error) {
	var r T

	if err := codec.Check(body); err != nil {
		return nil, merry.Prependf(ErrUndecodable, "decode body: %v", err)
	}

	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)

	if err := decoder.Decode(&r); err != nil {
		return nil, merry.Prependf(ErrUndecodable, "decode body: %v", err)
	}

	if _, err := decoder.PeekCode(); !errors.Is(err, io.EOF) {
		return nil, merry.Prepend(ErrUndecodable, "bytes after the body")
	}

	return r, nil
}
