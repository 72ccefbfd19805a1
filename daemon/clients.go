package daemon

import (
	"net"
	"net/http"
	"time"

	"monsoonlever/backend"
)

const (
	// idleServerConnections is kept open to each backend server.
	idleServerConnections = 64
	// dialTimeout bounds a connection to a backend server or the platform.
	dialTimeout = time.Second
	// maxResponseHeaderBytes bounds the header of a response, which would be kept in memory as long as
	// it goes on.
	maxResponseHeaderBytes = 64 << 10
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleServerConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// clients makes the clients of backend servers.
type clients struct {
	http *http.Client
}

// Engine returns a client of a model engine.
func (c clients) Engine(address string) backend.Engine {
	return backend.NewHTTPEngine(address, c.http)
}

// Plain returns a client of a plain service.
func (c clients) Plain(address string) backend.PlainServer {
	return backend.NewHTTPPlainServer(address, c.http)
}
