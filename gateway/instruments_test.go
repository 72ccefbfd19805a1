package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"monsoonlever/refusal"
)

func wantMetric(t *testing.T, g *Gateway, line string) {
	t.Helper()

	var b bytes.Buffer
	g.instruments.set.WritePrometheus(&b)

	if !strings.Contains(b.String(), line+"\n") {
		t.Errorf("metrics: got\n%s\nwant %s", &b, line)
	}
}

func TestRequestsAreCounted(t *testing.T) {
	const status = "/services/payrun-api/bank-files/1"

	g := newGateway(t)
	plain := g.Plain.(*recordingPlain)
	h := g.Handler()

	send(t, h, newRequest(http.MethodGet, status, ""))
	send(t, h, newRequest(http.MethodGet, "/services/payrun-api/unheard-of", ""))
	send(t, h, newRequest(http.MethodGet, "/unheard-of", ""))

	disconnected, cancel := context.WithCancel(t.Context())
	cancel()
	send(t, h, newRequest(http.MethodGet, status, "").WithContext(disconnected))

	plain.refused = refusal.New(refusal.NoServer, "none")
	send(t, h, newRequest(http.MethodGet, status, ""))

	wantMetric(t, g, `monsoonlever_requests_total{service="payrun-api",kind="bank-file-status",outcome="answered"} 1`)
	wantMetric(t, g, `monsoonlever_requests_total{service="payrun-api",kind="bank-file-status",outcome="noServer"} 1`)
	wantMetric(t, g, `monsoonlever_requests_total{service="payrun-api",kind="bank-file-status",outcome="callerGone"} 1`)
	wantMetric(t, g, `monsoonlever_requests_total{service="",kind="",outcome="unknownCall"} 1`)
	wantMetric(t, g, `monsoonlever_requests_total{service="",kind="",outcome="unknownService"} 1`)
	wantMetric(t, g, `monsoonlever_callers_gone_total{cause="disconnected"} 1`)
	wantMetric(t, g, `monsoonlever_requests_open 0`)
}

func TestModelAnswersAreMeasured(t *testing.T) {
	g, _, _ := newModelGateway(t)
	client := newClient(t, g, testSecret)

	if _, err := client.Chat.Completions.New(t.Context(), chatParams()); err != nil {
		t.Fatal(err)
	}

	const kind = `{service="ledger-llm",kind="explain-remittance"}`

	wantMetric(t, g, "monsoonlever_first_token_seconds_count"+kind+" 1")
	wantMetric(t, g, "monsoonlever_request_duration_seconds_count"+kind+" 1")
	wantMetric(t, g, "monsoonlever_resumed_attempts_total"+kind+" 0")
}

// panickingPlain panics on each call, since its PlainServer is nil.
type panickingPlain struct{ PlainServer }

func TestPanicReleasesAdmission(t *testing.T) {
	g := newGateway(t)
	g.Plain = panickingPlain{}
	h := g.Handler()

	for range 100 {
		func() {
			defer func() { _ = recover() }()

			send(t, h, newRequest(http.MethodGet, "/services/payrun-api/bank-files/1", ""))
		}()
	}

	g.Plain = &recordingPlain{}

	if got, _ := send(t, h, newRequest(http.MethodGet, "/services/payrun-api/bank-files/1", "")); got != http.StatusOK {
		t.Errorf("status: got %d, want %d", got, http.StatusOK)
	}

	wantMetric(t, g, "monsoonlever_requests_open 0")
}
