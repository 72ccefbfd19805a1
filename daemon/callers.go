package daemon

import (
	"net"
	"net/http"
	"strings"
	"time"

	"monsoonlever/listener"
	"monsoonlever/refusal"
)

const (
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 2 * time.Minute
	// bodyTimeout bounds the time in which a caller sends its whole request.
	bodyTimeout = 30 * time.Second
)

// callersServer serves callers, none of whom may hold a connection for nothing.
func (p *parts) callersServer() *http.Server {
	return &http.Server{
		Handler:           p.gateway.Handler(),
		ReadHeaderTimeout: p.settings.Limits.ReadHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    p.settings.Limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}

// limited bounds the open connections of callers.
func (p *parts) limited(l net.Listener) net.Listener {
	refused := p.metrics.NewCounter("monsoonlever_connections_refused_total")

	return &listener.Limit{
		Listener:  l,
		Max:       int64(p.settings.Limits.MaxConnections),
		Refusal:   connectionRefusal(),
		OnRefused: refused.Inc,
	}
}

// connectionRefusal is the answer to a connection over the bound.
func connectionRefusal() []byte {
	var b strings.Builder

	recorder := plainResponse{header: http.Header{}, body: &b}
	refusal.New(refusal.Overloaded, "too many connections").WithRetryAfter(time.Second).Write(&recorder)

	return recorder.bytes()
}
