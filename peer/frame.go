package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	frameVersion = 1
	// HeaderSize is the number of bytes before a frame's body: body length (4),
	// version (1), form (1), kind (2) and call number (4), big-endian.
	HeaderSize = 12
	// DefaultMaxBody bounds the body of a frame where Node.MaxBody is zero.
	DefaultMaxBody = 1 << 20
)

// frame is one message on the wire: its decoded header and its encoded body.
type frame struct {
	form form
	kind Kind
	call uint32
	body []byte
}

func (f frame) size() int {
	return HeaderSize + len(f.body)
}

// appendFrame appends the encoded frame to b.
func appendFrame(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.body)))
	b = append(b, frameVersion, byte(f.form))
	b = binary.BigEndian.AppendUint16(b, uint16(f.kind))
	b = binary.BigEndian.AppendUint32(b, f.call)

	return append(b, f.body...)
}

// readFrame reads one frame. It checks the declared length against maxBody
// before it allocates the body.
func readFrame(r io.Reader, maxBody int) (frame, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, classifyReadError(err)
	}

	f, length, err := decodeHeader(header, maxBody)
	if err != nil {
		return frame{}, err
	}

	f.body = make([]byte, length)
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, classifyReadError(asUnexpectedEOF(err))
	}

	return f, nil
}

func decodeHeader(header [HeaderSize]byte, maxBody int) (frame, int, error) {
	length := binary.BigEndian.Uint32(header[0:4])
	if version := header[4]; version != frameVersion {
		return frame{}, 0, &FrameError{fault: FaultVersion, value: uint64(version)}
	}

	f := frame{
		form: form(header[5]),
		kind: Kind(binary.BigEndian.Uint16(header[6:8])),
		call: binary.BigEndian.Uint32(header[8:12]),
	}
	if !f.form.valid() {
		return frame{}, 0, &FrameError{fault: FaultForm, value: uint64(header[5])}
	}

	if uint64(length) > uint64(maxBody) {
		return frame{}, 0, &FrameError{fault: FaultSize, value: uint64(length)}
	}

	return f, int(length), nil
}

// asUnexpectedEOF turns io.EOF after a frame's header into io.ErrUnexpectedEOF.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// classifyReadError returns a FrameError for a stream that ends inside a frame,
// and io.EOF for one that ends between frames.
func classifyReadError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &FrameError{fault: FaultTruncated}
	}

	if errors.Is(err, io.EOF) {
		return io.EOF
	}

	return merry.Prepend(err, "read frame")
}
