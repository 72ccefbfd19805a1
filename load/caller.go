package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"monsoonlever/clock"
	"monsoonlever/httpclient"
	"monsoonlever/refusal"
)

const (
	chatPath     = "/v1/chat/completions"
	servicesPath = "/services/"

	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline"
	headerTimeout  = "X-Timeout"
	headerPriority = "X-Priority"
	headerCall     = "X-Call"

	maxReplyBytes = 16 << 20
)

// caller sends calls to the entry instances.
type caller struct {
	clock      clock.Clock
	targets    []*httpclient.Client
	expected   ExpectedFunc
	checkPlain CheckPlainFunc
	grace      time.Duration
	// start is when the run started; a call's latency counts from when it was due.
	start time.Time
}

func newCaller(o *Options, start time.Time) *caller {
	c := &caller{clock: o.Clock, expected: o.Expected, checkPlain: o.CheckPlain, grace: o.Grace, start: start}
	for _, address := range o.Targets {
		c.targets = append(c.targets, httpclient.New("http://"+address, o.Client))
	}

	return c
}

// call sends a call, and sends a keyed one again while its outcome is unknown.
func (c *caller) call(ctx context.Context, p *planned) finished {
	ctx, cancel := context.WithTimeout(ctx, p.call.Timeout+c.grace)
	defer cancel()

	attempts := 1
	if p.idem != "" {
		attempts = max(p.call.Plain.Attempts, 1)
	}

	for n := 1; ; n++ {
		f := c.attempt(ctx, p, p.target+n-1)
		f.attempts = n

		if n >= attempts || !f.unsure() || !c.wait(ctx, f.retryAfter) {
			return f
		}
	}
}

// wait waits as long as a refusal told, or a little.
func (c *caller) wait(ctx context.Context, d time.Duration) bool {
	const least = 200 * time.Millisecond

	select {
	case <-c.clock.After(max(d, least)):
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a call once, to the next entry instance that can be reached.
func (c *caller) attempt(ctx context.Context, p *planned, target int) finished {
	body := p.body

	if p.call.isModel() {
		encoded, err := json.Marshal(p.model)
		if err != nil {
			return finished{ending: Unreached, detail: err.Error()}
		}

		body = encoded
	}

	var last error

	for n := range c.targets {
		client := c.targets[(target+n)%len(c.targets)]
		response, err := client.Send(ctx, p.method(), p.path, c.header(p), body) //nolint:bodyclose // read closes it

		if errors.Is(err, httpclient.ErrNotSent) && ctx.Err() == nil {
			last = err

			continue
		}

		if err != nil {
			return c.ended(ctx, Lost, err)
		}

		return c.read(ctx, p, response)
	}

	return finished{ending: Unreached, detail: last.Error(), whole: c.sinceDue(p)}
}

func (p *planned) method() string {
	if p.call.isModel() {
		return http.MethodPost
	}

	return p.call.Plain.Method
}

func (c *caller) header(p *planned) http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+p.key)
	h.Set("Content-Type", "application/json")

	due := c.start.Add(p.at)
	if p.call.AsDeadline {
		h.Set(headerDeadline, due.Add(p.call.Timeout).Format(time.RFC3339Nano))
	} else {
		h.Set(headerTimeout, p.call.Timeout.String())
	}

	if p.call.Priority > 0 {
		h.Set(headerPriority, strconv.Itoa(p.call.Priority))
	}

	if p.call.isModel() {
		h.Set(headerCall, string(p.call.Kind))
	}

	if p.idem != "" {
		h.Set(headerKey, p.idem)
	}

	return h
}

func (c *caller) sinceDue(p *planned) time.Duration {
	return c.clock.Now().Sub(c.start.Add(p.at))
}

// ended tells a connection that broke from a call that ran out of time.
func (c *caller) ended(ctx context.Context, otherwise Ending, err error) finished {
	if ctx.Err() != nil {
		return finished{ending: Unanswered, detail: ctx.Err().Error()}
	}

	return finished{ending: otherwise, detail: err.Error()}
}

// read reads the response and closes it.
func (c *caller) read(ctx context.Context, p *planned, response *http.Response) finished {
	defer func() { _ = response.Body.Close() }()

	if p.call.isModel() && response.StatusCode == http.StatusOK && p.model.Stream {
		return c.readStream(ctx, p, response)
	}

	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return c.ended(ctx, Cut, err)
	}

	whole := c.sinceDue(p)

	switch {
	case response.StatusCode >= http.StatusBadRequest:
		f := refusedBy(body, response.Status)
		f.whole = whole

		return f
	case p.call.isModel():
		return c.checkWhole(p, body, whole)
	default:
		return c.checkReply(p, body, whole)
	}
}

// refusedBy reads the JSON form of a refusal.
func refusedBy(body []byte, status string) finished {
	var refused refusal.Body
	if err := json.Unmarshal(body, &refused); err != nil || refused.Error.Code == "" {
		return finished{ending: Failed, run: refusal.Unknown, detail: status + ": " + string(bytes.TrimSpace(body))}
	}

	f := finished{
		ending:     Failed,
		code:       refused.Error.Code,
		run:        refused.Error.Run,
		retryAfter: time.Duration(refused.Error.RetryAfterSeconds) * time.Second,
		detail:     refused.Error.Message,
	}

	if f.run == refusal.NotRun || f.run == refusal.NotStarted {
		f.ending = Refused
	}

	return f
}

func (c *caller) checkReply(p *planned, body []byte, whole time.Duration) finished {
	f := finished{ending: Answered, whole: whole}

	if c.checkPlain != nil && !c.checkPlain(p.servicePath(), p.body, body) {
		f.ending, f.detail = Wrong, "reply is not to this call"
	}

	return f
}

// servicePath is the path that the service itself sees.
func (p *planned) servicePath() string {
	return p.path[len(servicesPath)+len(p.call.Service):]
}
