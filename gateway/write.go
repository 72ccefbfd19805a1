package gateway

import (
	"net/http"

	"monsoonlever/refusal"
)

// setWriteDeadline sets the deadline of all further writes of a response to the write
// timeout from now. The HTTP server resets it at the end of the request.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	// Writers without support for deadlines, as in tests, have no timeout.
	_ = http.NewResponseController(w).SetWriteDeadline(g.Clock.Now().Add(g.WriteTimeout))
}

// refuse writes a refusal as a complete response.
func (g *Gateway) refuse(w http.ResponseWriter, r *refusal.Refusal) {
	g.setWriteDeadline(w)
	r.Write(w)
}

// refuseUnclassified refuses a request before its service and kind of call have been
// established, and counts it with empty service and kind labels.
func (g *Gateway) refuseUnclassified(w http.ResponseWriter, r *refusal.Refusal) {
	g.instruments.observe(Observation{Refused: r})
	g.refuse(w, r)
}
