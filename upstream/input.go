package upstream

import (
	"net"

	"github.com/ansel1/merry/v2"
)

// maxHeaderBytes bounds the status line and the header fields of a response, and what is read with
// them into the read buffer. Headers of backend servers take less than a kilobyte.
const maxHeaderBytes = 16 << 10

// ErrHeaderTooLong means that a header did not end within its bound.
var ErrHeaderTooLong = merry.Sentinel("response header is too long")

// input reads from a connection. While a header is read, it bounds the bytes that the header takes;
// the readers of a body have bounds of their own.
type input struct {
	conn net.Conn
	// inHeader is set while a header is read, of which headerBytes have been read.
	inHeader    bool
	headerBytes int
}

// beginHeader bounds what is read until endHeader.
func (i *input) beginHeader() { i.inHeader, i.headerBytes = true, 0 }

// endHeader lifts the bound.
func (i *input) endHeader() { i.inHeader = false }

// Read reads from the connection. Its error wraps ErrHeaderTooLong once a header is over its bound.
func (i *input) Read(b []byte) (int, error) {
	if !i.inHeader {
		return i.conn.Read(b)
	}

	left := maxHeaderBytes - i.headerBytes
	if left <= 0 {
		return 0, merry.Prependf(ErrHeaderTooLong, "over %d bytes", maxHeaderBytes)
	}

	n, err := i.conn.Read(b[:min(len(b), left)])
	i.headerBytes += n

	return n, err
}
