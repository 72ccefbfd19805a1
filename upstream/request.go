package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"monsoonlever/fleet"
)

// Server names a backend server. Connections belong to the instance and not to
// its address, which another instance may have later.
type Server struct {
	ID      fleet.InstanceID
	Address string
}

// Request is one attempt at a request.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is echoed by the backend server in the header IDHeader.
	ID       string
	IDHeader string
	// RequireFresh asks for a connection that was in use a moment ago or is new. A kept
	// connection may be dead, which is found out only by sending, and a request
	// that may not be repeated is lost with it.
	RequireFresh bool
	// BeforeSend is asked right before the first byte leaves, after every wait; an
	// error keeps the request from being sent.
	BeforeSend func() error
}

// encode writes the whole message.
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
