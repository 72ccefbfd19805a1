package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHeaderBytes bounds the status line and the header fields of a response, and what is read
	// with them into the read buffer. Headers of backend servers take less than a kilobyte.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time from the first bytes of a header to its end. A server writes a
	// header at once, so only a lost packet may separate its parts.
	headerTimeout = time.Second
)

var (
	// ErrHeaderTooLong means that a header did not end within its bound.
	ErrHeaderTooLong = merry.Sentinel("response header is too long")
	// ErrHeaderTooSlow means that a header began and did not end in time.
	ErrHeaderTooSlow = merry.Sentinel("response header is too slow")
)

// input reads from a connection. While a header is read, it bounds the bytes and the time that the
// header takes; the readers of a body have bounds of their own.
type input struct {
	conn net.Conn
	// inHeader is set while a header is read, of which headerBytes have been read.
	inHeader    bool
	headerBytes int
	// hasDeadline is set once the time for the rest of the header is bounded.
	hasDeadline bool
}

// beginHeader bounds what is read until endHeader.
func (i *input) beginHeader() { i.inHeader, i.headerBytes = true, 0 }

// endHeader lifts the bounds.
func (i *input) endHeader() {
	i.inHeader = false

	if i.hasDeadline {
		i.hasDeadline = false
		_ = i.conn.SetReadDeadline(time.Time{}) // the next read reports a closed connection
	}
}

// Read reads from the connection. Its error wraps ErrHeaderTooLong or ErrHeaderTooSlow once a header is
// over its bound.
func (i *input) Read(b []byte) (int, error) {
	if !i.inHeader {
		return i.conn.Read(b)
	}

	left := maxHeaderBytes - i.headerBytes
	if left <= 0 {
		return 0, merry.Prependf(ErrHeaderTooLong, "over %d bytes", maxHeaderBytes)
	}

	if i.headerBytes > 0 && !i.hasDeadline {
		i.hasDeadline = true

		if err := i.conn.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
			return 0, err
		}
	}

	n, err := i.conn.Read(b[:min(len(b), left)])
	i.headerBytes += n

	if i.hasDeadline && errors.Is(err, os.ErrDeadlineExceeded) {
		err = merry.Prependf(ErrHeaderTooSlow, "over %v", headerTimeout)
	}

	return n, err
}
