package gateway

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonlever/admission"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

func TestForwardedPathIsMatchedPath(t *testing.T) {
	tests := []struct {
		desc   string
		target string
		want   string
		code   refusal.Code
	}{
		{desc: "plain", target: "/approvals/7/status", want: "/approvals/7/status"},
		{desc: "query", target: "/approvals/7/status?a=1&b=%2F..", want: "/approvals/7/status?a=1&b=%2F.."},
		{desc: "encoded question mark stays in its segment", target: "/approvals/7%3Fx/status", want: "/approvals/7%3Fx/status"},
		{desc: "encoded hash stays in its segment", target: "/approvals/7%23x/status", want: "/approvals/7%23x/status"},
		{desc: "doubly encoded dots stay encoded", target: "/approvals/%252e%252e/status", want: "/approvals/%252e%252e/status"},
		{desc: "non-ASCII letters", target: "/approvals/%C3%B8/status", want: "/approvals/%C3%B8/status"},
		{desc: "double slash", target: "//approvals/7/status", code: refusal.UnknownCall},
		{desc: "dots", target: "/approvals/../load", code: refusal.UnknownCall},
		{desc: "dots in place of a path parameter", target: "/approvals/../status", code: refusal.UnknownCall},
		{desc: "encoded dots", target: "/approvals/%2e%2e/status", code: refusal.UnknownCall},
		{desc: "encoded slash", target: "/approvals/7%2Fstatus", code: refusal.BadRequest},
		{desc: "encoded slash in lower case", target: "/approvals/7%2fstatus", code: refusal.BadRequest},
		{desc: "backslash", target: "/approvals/..%5C..%5Cload/status", code: refusal.BadRequest},
		{desc: "dots with a path parameter", target: "/approvals/..;x/status", code: refusal.BadRequest},
		{desc: "line break", target: "/approvals/7%0d%0aX:1/status", code: refusal.BadRequest},
		{desc: "fragment in the query", target: "/approvals/7/status?a#b", code: refusal.BadRequest},
		{desc: "internal path of the backend server", target: "/load", code: refusal.UnknownCall},
		{desc: "trailing slash", target: "/approvals/7/status/", code: refusal.UnknownCall},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := newGateway(t)
			r := newRequest(http.MethodGet, "/services/payrun-api"+tt.target, "")

			_, detail := send(t, g.Handler(), r)
			if got, want := detail.Code, tt.code; got != want {
				t.Errorf("code: got %q, want %q", got, want)
			}

			var want []string
			if tt.want != "" {
				want = []string{tt.want}
			}

			if got := g.Plain.(*recordingPlain).paths(); !slices.Equal(got, want) {
				t.Errorf("sent paths: got %q, want %q", got, want)
			}
		})
	}
}

func TestInvalidRequestIsRefused(t *testing.T) {
	const plain = "/services/payrun-api/bank-files"

	chat := `{"model":"` + testModel + `","messages":[{"role":"user","content":"x"}]}`

	tests := []struct {
		desc   string
		method string
		target string
		body   string
		header http.Header
		want   refusal.Code
	}{
		{desc: "incomplete JSON", target: PathChat, body: `{"model":`, want: refusal.BadRequest},
		{desc: "empty body", target: PathChat, want: refusal.BadRequest},
		{desc: "excessive max_tokens", target: PathChat, body: chat[:len(chat)-1] + `,"max_tokens":9223372036854775807}`, want: refusal.BadRequest},
		{desc: "oversized body", target: PathChat, body: chat + strings.Repeat(" ", 1<<10), want: refusal.BodyTooLarge},
		{desc: "unknown model", target: PathChat, body: strings.Replace(chat, testModel, "m", 1), want: refusal.UnknownModel},
		{desc: "unknown kind of call", target: PathChat, body: chat, header: http.Header{HeaderCallKind: {"x"}}, want: refusal.UnknownCall},
		{desc: "unknown service", target: "/services/x/bank-files", want: refusal.UnknownService},
		{desc: "unknown account", target: plain, header: http.Header{"Authorization": {"Bearer x"}}, want: refusal.Unauthorized},
		{desc: "no Bearer scheme", target: plain, header: http.Header{"Authorization": {testSecret}}, want: refusal.Unauthorized},
		{desc: "two Authorization headers", target: plain, header: http.Header{"Authorization": {"Bearer " + testSecret, "Bearer x"}}, want: refusal.BadRequest},
		{desc: "no idempotency key", target: plain, want: refusal.KeyRequired},
		{desc: "two deadlines", target: PathChat, body: chat, header: http.Header{HeaderTimeout: {"1s", "2s"}}, want: refusal.BadRequest},
		{desc: "expired deadline", target: PathChat, body: chat, header: http.Header{HeaderDeadline: {"2020-01-01T00:00:00Z"}}, want: refusal.DeadlinePassed},
		{desc: "negative priority", target: PathChat, body: chat, header: http.Header{HeaderPriority: {"-1"}}, want: refusal.BadRequest},
		{desc: "HEAD", method: http.MethodHead, target: PathModels, want: refusal.UnknownService},
		{desc: "OPTIONS", method: http.MethodOptions, target: plain, want: refusal.UnknownService},
		{desc: "unknown path", method: http.MethodGet, target: "/", want: refusal.UnknownService},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := newGateway(t)
			if tt.method == "" {
				tt.method = http.MethodPost
			}

			r := newRequest(tt.method, tt.target, tt.body)
			for name, values := range tt.header {
				r.Header[http.CanonicalHeaderKey(name)] = values
			}

			status, detail := send(t, g.Handler(), r)
			if detail.Code != tt.want || status != tt.want.Status() || detail.Run != refusal.NotRun {
				t.Errorf("refusal: got %d %+v, want %s and notRun", status, detail, tt.want)
			}

			if got := g.Plain.(*recordingPlain).paths(); got != nil {
				t.Errorf("sent: got %q, want nothing", got)
			}
		})
	}
}

func TestKeyedCallRefusedBeforeClaimIsNotStarted(t *testing.T) {
	key := http.Header{HeaderIdempotencyKey: {"key-1"}}
	with := func(name string, values ...string) http.Header {
		h := key.Clone()
		h[http.CanonicalHeaderKey(name)] = values

		return h
	}

	tests := []struct {
		desc    string
		header  http.Header
		body    string
		prepare func(*Gateway)
		want    refusal.Code
	}{
		{desc: "not ready", header: key, prepare: func(g *Gateway) { g.Manifest = func() *manifest.Manifest { return nil } }, want: refusal.NotReady},
		{desc: "shutting down", header: key, prepare: (*Gateway).Stop, want: refusal.ShuttingDown},
		{desc: "unknown account", header: with("Authorization", "Bearer x"), want: refusal.Unauthorized},
		{desc: "two keys", header: with(HeaderIdempotencyKey, "", "key-1"), want: refusal.BadRequest},
		{desc: "oversized key", header: with(HeaderIdempotencyKey, strings.Repeat("k", maxKeyBytes+1)), want: refusal.BadRequest},
		{desc: "bad priority", header: with(HeaderPriority, "high"), want: refusal.BadRequest},
		{desc: "bad timeout", header: with(HeaderTimeout, "soon"), want: refusal.BadRequest},
		{desc: "expired deadline", header: with(HeaderDeadline, "2020-01-01T00:00:00Z"), want: refusal.DeadlinePassed},
		{desc: "oversized body", header: key, body: strings.Repeat("x", 2<<10), want: refusal.BodyTooLarge},
		{desc: "over the limit", header: key, prepare: exhaustConcurrencyLimit, want: refusal.LimitExceeded},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			limited := admission.AccountConfig{Account: testAccount, Concurrent: 1}
			g := newGateway(t, limited)

			if tt.prepare != nil {
				tt.prepare(g)
			}

			r := newRequest(http.MethodPost, "/services/payrun-api/bank-files", tt.body)
			for name, values := range tt.header {
				r.Header[http.CanonicalHeaderKey(name)] = values
			}

			_, detail := send(t, g.Handler(), r)
			if detail.Code != tt.want || detail.Run != refusal.NotStarted {
				t.Errorf("refusal: got %+v, want %s and notStarted", detail, tt.want)
			}
		})
	}
}

// exhaustConcurrencyLimit admits a request of the test account and leaves it open.
func exhaustConcurrencyLimit(g *Gateway) {
	g.Admission.Admit(time.Now(), admission.Request{Service: "payrun-api", Account: testAccount})
}
