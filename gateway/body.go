package gateway

import (
	"errors"
	"io"
	"net/http"

	"monsoonlever/refusal"
)

// readBody reads a body of at most limit bytes. A slow caller is cut off by the
// read timeout of the HTTP server.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", limit)
	}

	return nil, refusal.New(refusal.BadRequest, "the body could not be read: %v", err)
}
