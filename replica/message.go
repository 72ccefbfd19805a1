package replica

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
)

const (
	// headerBytes is the size of the header before each message. It holds the length of the
	// message and, in the highest bit, compressedFlag.
	headerBytes    = 4
	compressedFlag = uint32(1) << 31
	// maxMessageBytes bounds a message before and after decompression.
	maxMessageBytes = 4 << 20
	// compressMinBytes is the size from which messages are compressed. Compression shrinks a
	// snapshot of the backend servers to a sixth, so that a relay with a small link can send it to
	// many instances at the same time.
	compressMinBytes = 1 << 10
)

// ErrFrame means that another instance sent a malformed message.
var ErrFrame = merry.Sentinel("replica frame is malformed")

//nolint:gochecknoglobals // compressors are large and are shared by all connections
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The compression level is a valid constant.
		panic(err)
	}

	return w
}}

// encode returns the header and the msgpack form of a message, compressed if it is large.
func encode(message any) ([]byte, error) {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return nil, err
	}

	if len(data) < compressMinBytes {
		return append(newHeader(uint32(len(data)), len(data)), data...), nil
	}

	packed, err := compress(data)
	if err != nil {
		return nil, err
	}

	return append(newHeader(uint32(len(packed))|compressedFlag, len(packed)), packed...), nil
}

func newHeader(length uint32, payloadBytes int) []byte {
	return binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+payloadBytes), length)
}

func compress(data []byte) ([]byte, error) {
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)

	var packed bytes.Buffer

	w.Reset(&packed)

	if _, err := w.Write(data); err != nil {
		return nil, err
	}

	err := w.Close()

	return packed.Bytes(), err
}

// decompress returns the decompressed message, or ErrFrame if it is corrupt or larger than
// maxMessageBytes.
func decompress(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxMessageBytes+1))
	if err != nil {
		return nil, merry.Prepend(ErrFrame, err.Error())
	}

	if len(data) > maxMessageBytes {
		return nil, merry.Prependf(ErrFrame, "more than %d bytes", maxMessageBytes)
	}

	return data, nil
}

func writeMessage(w io.Writer, message any) error {
	data, err := encode(message)
	if err != nil {
		return err
	}

	_, err = w.Write(data)

	return err
}

func readMessage(r io.Reader, into any) error { return readMessageUpTo(r, maxMessageBytes, into) }

// readMessageUpTo is readMessage of a message of at most limit bytes, before it is decompressed.
func readMessageUpTo(r io.Reader, limit uint32, into any) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}

	prefix := binary.BigEndian.Uint32(header[:])
	if prefix&^compressedFlag > limit {
		return merry.Prependf(ErrFrame, "%d bytes", prefix&^compressedFlag)
	}

	data := make([]byte, prefix&^compressedFlag)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}

	if prefix&compressedFlag != 0 {
		var err error
		if data, err = decompress(data); err != nil {
			return err
		}
	}

	return codec.Unmarshal(data, into)
}
