package detour

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/buffer"
	"monsoonlever/codec"
)

const (
	lengthBytes = 4
	// maxMessageBytes bounds a message: the body of a request or response, and its header.
	maxMessageBytes = 10 << 20
	// confirmation confirms an offer.
	confirmation = 1
)

// writeMessage writes the length of a message and its msgpack form.
func writeMessage(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}

	if len(data) > maxMessageBytes {
		return merry.Prependf(ErrFrame, "%d bytes", len(data))
	}

	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data))), data...))

	return err
}

// readMessage reads a message into memory that is reserved.
func readMessage(r io.Reader, memory *buffer.Reservation, into any) error {
	length, err := readLength(r)
	if err != nil {
		return err
	}

	return readBody(r, memory, length, into)
}

// readLength reads the length of a message in bytes.
func readLength(r io.Reader) (int64, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}

	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return 0, merry.Prependf(ErrFrame, "%d bytes", length)
	}

	return int64(length), nil
}

// readBody reads a message after its length. Memory grows with the bytes that arrive, whatever
// length is declared.
func readBody(r io.Reader, memory *buffer.Reservation, length int64, into any) error {
	data, err := memory.ReadAll(io.LimitReader(r, length), length)
	if err != nil {
		return err
	}

	if int64(len(data)) < length {
		return io.ErrUnexpectedEOF
	}

	if err := codec.Unmarshal(data, into); err != nil {
		return merry.Prepend(ErrFrame, "decode", merry.WithCause(err))
	}

	return nil
}
