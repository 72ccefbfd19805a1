package claim

// Result is the complete response of a service.
type Result struct {
	status int
	header []Field
	body   []byte
}

// NewResult returns a Result with a status code, header fields and a body.
func NewResult(status int, header []Field, body []byte) Result {
	return Result{status: status, header: header, body: body}
}

// Status returns the status code.
func (r Result) Status() int { return r.status }

// Header returns the header fields.
func (r Result) Header() []Field { return r.header }

// Body returns the body.
func (r Result) Body() []byte { return r.body }
