package listener

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout and lingerBytes bound what is still read from a client after a refusal: closing
	// a connection with unread bytes resets it, and the client may lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// maxLingering bounds the connections over the limit that are read so.
	maxLingering = 16
)

const (
	// refusalOverloaded says that a request has not run, and when to come back.
	refusalOverloaded = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTooLarge says that a header is too large.
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// lingerSlots bounds the connections that are refused at the same time.
type lingerSlots struct {
	used atomic.Int64
}

// refuse writes a refusal to a new connection and closes it.
func (s *lingerSlots) refuse(conn net.Conn, text string) {
	if s.used.Add(1) > maxLingering {
		s.used.Add(-1)
		_ = conn.Close() // there is no room to tell the client why

		return
	}

	go func() {
		defer s.used.Add(-1)
		defer conn.Close() //nolint:errcheck // the refusal is written, or the client is gone

		writeRefusal(conn, text)
	}()
}

// writeRefusal writes a refusal and waits until the client closes the connection.
func writeRefusal(conn net.Conn, text string) {
	if err := conn.SetDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}

	if _, err := io.WriteString(conn, text); err != nil {
		return
	}

	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the client is gone if this fails
	}

	// The client has read the refusal at the end of what it sends.
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}
