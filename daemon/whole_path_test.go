package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/refusal"
	"monsoonlever/standin"
)

// wantAnswer returns the answer that the engines' stand-in gives.
func wantAnswer(content string, maxTokens int) string {
	return strings.Join(standin.ExpectedAnswer(testModel, "user: "+content+"\n", maxTokens), "")
}

// call makes a call of the payment service.
func (d *deployment) call(ctx context.Context, e *entry, method, path, key, body string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.addresses.Callers+"/services/payrun-api"+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}

	r.Header.Set("Authorization", "Bearer "+testAccount)

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	response, err := caller.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()

	answer, err := io.ReadAll(response.Body)

	return response, answer, err
}

func TestWholePathAnswersEachKindOfRequest(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 3)

	got, err := d.ask(d.entries[0], "reconcile these invoices", 40, nil)
	if err != nil || !got.whole {
		t.Fatalf("streamed answer: got whole %v, %v, want a whole answer", got.whole, err)
	}

	if want := wantAnswer("reconcile these invoices", 40); got.text != want {
		t.Errorf("streamed answer: got %q, want %q", got.text, want)
	}

	response, _, err := d.call(d.ctx, d.entries[1], http.MethodGet, "/approvals/7/status", "", "")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status call: got %v, %v, want 200", response, err)
	}

	before := d.executions()

	var first []byte

	for i, e := range d.entries {
		response, body, err := d.call(d.ctx, e, http.MethodPost, "/bank-files", "key-1", "file")
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("attempt %d: got %v, %v, want 200", i, response, err)
		}

		if i == 0 {
			first = body
		}

		if !bytes.Equal(body, first) {
			t.Errorf("attempt %d: got %s, want the first attempt's answer %s", i, body, first)
		}
	}

	if got, want := d.executions()-before, 1; got != want {
		t.Errorf("executions of one key through three instances: got %d, want %d", got, want)
	}
}

func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	const perEntry = 4

	t.Parallel()

	d := newDeployment(t, 3)
	statuses := make(chan int, perEntry*len(d.entries))

	var group conc.WaitGroup

	for _, e := range d.entries {
		for range perEntry {
			group.Go(func() {
				response, _, err := d.call(d.ctx, e, http.MethodPost, "/bank-files", "key-1", "file")
				if err != nil {
					statuses <- 0

					return
				}

				statuses <- response.StatusCode
			})
		}
	}

	group.Wait()
	close(statuses)

	for got := range statuses {
		if want := http.StatusOK; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
	}

	if got, want := d.executions(), 1; got != want {
		t.Errorf("executions: got %d, want %d", got, want)
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 2)
	leaving := d.entries[0]

	got, err := d.ask(leaving, "a long essay", 200, leaving.stop)
	if err != nil || !got.whole {
		t.Fatalf("answer over the stop: got whole %v, %v, want a whole answer", got.whole, err)
	}

	if want := wantAnswer("a long essay", 200); got.text != want {
		t.Errorf("answer: got %q, want %q", got.text, want)
	}

	if err := <-leaving.done; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

func TestReclaimOfAFailureDomainLosesNoAnswer(t *testing.T) {
	const (
		answers   = 24
		maxTokens = 300
	)

	t.Parallel()

	d := newDeployment(t, 2)
	begun := make(chan struct{}, answers)
	results := make([]streamed, answers)
	errs := make([]error, answers)

	var group conc.WaitGroup

	for i := range answers {
		group.Go(func() {
			results[i], errs[i] = d.ask(d.entries[i%2], fmt.Sprint("essay ", i), maxTokens, func() { begun <- struct{}{} })
		})
	}

	for range answers {
		<-begun
	}

	d.platform.Cloud.Reclaim(testDomains[0], 100*time.Millisecond)
	d.platform.Cloud.Wait()
	group.Wait()

	for i, got := range results {
		if errs[i] != nil || !got.whole {
			t.Errorf("answer %d: got whole %v, %v, want a whole answer", i, got.whole, errs[i])

			continue
		}

		if want := wantAnswer(fmt.Sprint("essay ", i), maxTokens); got.text != want {
			t.Errorf("answer %d: got %q, want %q", i, got.text, want)
		}
	}
}

func TestLogOutageRefusesKeyedCallsOnly(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 2)

	if err := d.platform.Log.Faults.Apply(standin.FaultOrder{Kind: standin.Down}); err != nil {
		t.Fatal(err)
	}

	var refused refusal.Body

	response, body, err := d.call(d.ctx, d.entries[0], http.MethodPost, "/bank-files", "key-1", "file")
	if err != nil {
		t.Fatal(err)
	}

	if err := json.Unmarshal(body, &refused); err != nil {
		t.Fatalf("answer %s: %v", body, err)
	}

	if got, want := refused.Error.Code, refusal.LogUnavailable; got != want {
		t.Errorf("code: got %s, want %s", got, want)
	}

	if got, want := refused.Error.Run, refusal.NotStarted; got != want {
		t.Errorf("run: got %s, want %s", got, want)
	}

	if response.Header.Get("Retry-After") == "" {
		t.Error("Retry-After: got none, want when to come back")
	}

	if got, want := d.executions(), 0; got != want {
		t.Errorf("executions in the outage: got %d, want %d", got, want)
	}

	got, err := d.ask(d.entries[1], "in the outage", 20, nil)
	if err != nil || !got.whole {
		t.Errorf("model answer in the outage: got whole %v, %v, want a whole answer", got.whole, err)
	}

	if err := d.platform.Log.Faults.Apply(standin.FaultOrder{Kind: standin.Clear}); err != nil {
		t.Fatal(err)
	}

	d.eventually("the call runs once the log is back", func() bool {
		response, _, err := d.call(d.ctx, d.entries[0], http.MethodPost, "/bank-files", "key-1", "file")

		return err == nil && response.StatusCode == http.StatusOK
	})

	if got, want := d.executions(), 1; got != want {
		t.Errorf("executions after the outage: got %d, want %d", got, want)
	}
}
