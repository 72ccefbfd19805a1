package detour

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

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

// readMessage reads a message. Memory grows with the bytes that arrive, whatever length is
// declared.
func readMessage(r io.Reader, into any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}

	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return merry.Prependf(ErrFrame, "%d bytes", length)
	}

	data, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return err
	}

	if len(data) < int(length) {
		return io.ErrUnexpectedEOF
	}

	if err := codec.Unmarshal(data, into); err != nil {
		return merry.Prepend(ErrFrame, "decode", merry.WithCause(err))
	}

	return nil
}
