package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/chat"
	"monsoonlever/gateway"
	"monsoonlever/refusal"
)

const (
	otherAccount = "demo-key-jysk-fodevarer"
	// unknownWithin bounds the time until an unknown answer is refused.
	unknownWithin = 5 * time.Second
)

// accept has a request accepted whose answer is fetched later, and returns
// where; a refusal is returned as its status.
func (d *deployment) accept(e *entry, content string) (location string, status int) {
	d.t.Helper()

	header := make(http.Header)
	header.Set(gateway.HeaderPrefer, "respond-async")

	response, err := d.post(d.ctx, e, chat.Request{
		Model: testModel, MaxTokens: longAnswer,
		Messages: []chat.Message{{Role: "user", Content: chat.Content(content)}},
	}, header)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()

	return response.Header.Get("Location"), response.StatusCode
}

// fetch asks for an accepted answer.
func (d *deployment) fetch(e *entry, location, secret string, into any) (int, error) {
	r, err := http.NewRequestWithContext(d.ctx, http.MethodGet, "http://"+e.addresses.Callers+location, http.NoBody)
	if err != nil {
		return 0, err
	}

	r.Header.Set("Authorization", "Bearer "+secret)

	response, err := caller.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()

	return response.StatusCode, json.NewDecoder(response.Body).Decode(into)
}

// fetchWhole asks at each instance in turn until an answer is there.
func (d *deployment) fetchWhole(entries []*entry, location string) gateway.Progress {
	d.t.Helper()

	var got gateway.Progress

	i := 0

	d.eventually("the accepted answer is whole", func() bool {
		status, err := d.fetch(entries[i%len(entries)], location, testAccount, &got)
		i++

		if err != nil || status != http.StatusOK && status != http.StatusAccepted {
			d.t.Fatalf("fetch %s: got %d, %v, want 200 or 202", location, status, err)
		}

		return status == http.StatusOK
	})

	return got
}

// TestAcceptedAnswerOutlivesItsAcceptor guards against 404 for an accepted answer
// after the instance that accepted it has died.
func TestAcceptedAnswerOutlivesItsAcceptor(t *testing.T) {
	t.Parallel()

	d := newSlowDeployment(t, 3, 10*time.Millisecond)

	location, status := d.accept(d.entries[0], essay(0))
	if status != http.StatusAccepted {
		t.Fatalf("status: got %d, want %d", status, http.StatusAccepted)
	}

	killed := time.Now()
	d.entries[0].kill()

	live := d.entries[1:]
	got := d.fetchWhole(live, location)
	t.Logf("the answer was whole %v after the kill", time.Since(killed).Round(time.Millisecond))

	if want := wantAnswer(essay(0), longAnswer); got.Text != want {
		t.Errorf("text: got %q, want %q", got.Text, want)
	}

	var group conc.WaitGroup

	for _, e := range live {
		group.Go(func() { d.wantUnknown(e, location, otherAccount) })
		group.Go(func() { d.wantUnknown(e, "/v1/answers/0192f0c1-aaaa-7bbb-8ccc-123456789abc", testAccount) })
	}

	group.Wait()
}

// wantUnknown checks that an answer is refused as unknown in bounded time.
func (d *deployment) wantUnknown(e *entry, location, secret string) {
	d.t.Helper()

	var got refusal.Body

	asked := time.Now()
	status, err := d.fetch(e, location, secret, &got)

	if err != nil || status != http.StatusNotFound || got.Error.Code != refusal.UnknownAnswer {
		d.t.Errorf("%s as %s: got %d %s, %v, want %s", location, secret, status, got.Error.Code, err, refusal.UnknownAnswer)
	}

	took := time.Since(asked)
	d.t.Logf("%s: refused as unknown after %v", e.id, took.Round(time.Millisecond))

	if took > unknownWithin {
		d.t.Errorf("%s: refused as unknown after %v, want at most %v", e.id, took, unknownWithin)
	}
}

func TestSingleInstanceWithoutPeers(t *testing.T) {
	t.Parallel()

	d := newLoneDeployment(t)
	e := d.entries[0]

	got, err := d.ask(e, essay(0), longAnswer, nil)
	if want := wantAnswer(essay(0), longAnswer); err != nil || !got.whole || got.text != want {
		t.Errorf("streamed answer: got whole %v, %q, %v, want %q", got.whole, got.text, err, want)
	}

	ctx, leave := context.WithCancel(d.ctx)
	seen, _ := d.askWith(ctx, e, essay(1), longAnswer, streamed{}, leave)

	got, err = d.goOn(d.entries, essay(1), longAnswer, seen)
	if want := wantAnswer(essay(1), longAnswer); err != nil || !got.whole || got.text != want {
		t.Errorf("resumed answer: got whole %v, %q, %v, want %q", got.whole, got.text, err, want)
	}

	asked := time.Now()

	if _, status := d.accept(e, essay(2)); status != http.StatusServiceUnavailable {
		t.Errorf("request to be answered later: got %d, want %d", status, http.StatusServiceUnavailable)
	}

	t.Logf("refused for want of a copy after %v", time.Since(asked).Round(time.Millisecond))

	response, body, err := d.call(d.ctx, e, http.MethodPost, "/bank-files", "key-1", "file")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("call with a key: got %v %s, %v, want 200", response, body, err)
	}
}

func TestLastInstanceStopsAtOnce(t *testing.T) {
	t.Parallel()

	d := newLoneDeployment(t)
	e := d.entries[0]

	if got, err := d.ask(e, essay(0), 20, nil); err != nil || !got.whole {
		t.Fatalf("answer: got whole %v, %v, want a whole answer", got.whole, err)
	}

	begun := time.Now()

	e.stop()

	if err := <-e.done; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}

	took := time.Since(begun)
	t.Logf("stopped in %v", took.Round(time.Millisecond))

	if took >= handOffTimeout {
		t.Errorf("stop: got %v, want less than the %v of a hand-off that nobody takes", took, handOffTimeout)
	}
}
