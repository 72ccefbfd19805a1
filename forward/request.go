package forward

import (
	"net/http"
	"time"

	"monsoonlever/scheduling"
)

// Request is one request of a caller. Its fields are set before Serve.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them, Path the decoded path.
	Target string
	Path   string
	// Header holds the header fields that are passed to backend servers.
	Header http.Header
	Body   []byte
	APIKey string
	// Arrived is when the request was received. Timeout is how long the caller waits from
	// then on; zero if it is not known.
	Arrived time.Time
	Timeout time.Duration
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	// Resumes is the ID of the caller's attempt that brought the first event of a stream which
	// this request resumes, or empty.
	Resumes string
	Prompt  scheduling.Prompt
}
