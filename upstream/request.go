package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"monsoonlever/fleet"
)

// Server identifies a backend server. Connections are pooled by the server's id and not by
// its address, which another server may have later.
type Server struct {
	ID      fleet.InstanceID
	Address string
}

// Request is one attempt to send a caller's request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request. The backend server returns it in the header IDHeader of its
	// response. The caller of Send also puts it into Header.
	ID       string
	IDHeader string
	// RequireFresh selects a connection that is new or was used a moment ago. A connection
	// that was idle for longer may be dead, which only a send shows, and a non-idempotent
	// request sent on it is lost.
	RequireFresh bool
	// Repeatable is set if the request may run more than once. Only such a request is interrupted
	// while its server is silent.
	Repeatable bool
	// BeforeSend, if not nil, is called right before the first byte is sent, after any
	// wait for a connection. If it returns an error, the request is not sent.
	BeforeSend func() error
}

// encode returns the request as an HTTP/1.1 message.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer

	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")

	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}

	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}

	b.WriteString("\r\n")
	b.Write(r.Body)

	return b.Bytes(), nil
}
