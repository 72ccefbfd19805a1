package gateway

import (
	"net/http"

	"monsoonlever/refusal"
)

// setWriteDeadline bounds what is written to a caller from now on. The server lifts
// the bound at the end of the request.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	// A writer that knows no deadlines, as in tests, is not bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(g.Clock.Now().Add(g.WriteTimeout))
}

// refuse writes a refusal as the whole response.
func (g *Gateway) refuse(w http.ResponseWriter, r *refusal.Refusal) {
	g.setWriteDeadline(w)
	r.Write(w)
}

// refuseUnclassified refuses a request whose kind of call is not known.
func (g *Gateway) refuseUnclassified(w http.ResponseWriter, r *refusal.Refusal) {
	g.instruments.observe(Observation{Refused: r})
	g.refuse(w, r)
}
