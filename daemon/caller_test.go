package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"monsoonlever/chat"
	"monsoonlever/gateway"
)

// streamed is what a caller saw of a streamed answer.
type streamed struct {
	status int
	text   string
	// lastID is the id of the last event, from which the caller can go on.
	lastID string
	whole  bool
	// refused is the text of an error event.
	refused string
}

// ask sends a streamed chat request; first is called at the first token.
func (d *deployment) ask(e *entry, content string, maxTokens int, first func()) (streamed, error) {
	return d.askWith(d.ctx, e, content, maxTokens, streamed{}, first)
}

// askAdmitted asks until an instance takes the request: one that has just
// started has a small share of the account's limits. A connection that breaks
// off later is for the caller to notice.
func (d *deployment) askAdmitted(e *entry, content string, maxTokens int, first func()) streamed {
	for {
		seen, _ := d.ask(e, content, maxTokens, first)
		if seen.status != http.StatusTooManyRequests || d.ctx.Err() != nil {
			return seen
		}
	}
}

// askWith asks, or goes on from what a caller has seen. What was seen is
// returned also with an error.
func (d *deployment) askWith(
	ctx context.Context, e *entry, content string, maxTokens int, seen streamed, first func(),
) (streamed, error) {
	header := make(http.Header)
	if seen.lastID != "" {
		header.Set(gateway.HeaderLastEventID, seen.lastID)
	}

	response, err := d.post(ctx, e, chat.Request{
		Model: testModel, Stream: true, MaxTokens: maxTokens,
		Messages: []chat.Message{{Role: "user", Content: chat.Content(content)}},
	}, header)
	if err != nil {
		return seen, err
	}
	defer response.Body.Close()

	return readStream(response, seen, first)
}

// post sends a chat request.
func (d *deployment) post(ctx context.Context, e *entry, request chat.Request, header http.Header) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.addresses.Callers+gateway.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	r.Header = header
	r.Header.Set("Authorization", "Bearer "+testAccount)

	return caller.Do(r)
}

// readStream adds what a stream brings to what its caller has seen.
func readStream(response *http.Response, s streamed, first func()) (streamed, error) {
	s.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	id := s.lastID

	for scanner.Scan() {
		if next, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			id = next
		}

		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}

		s.lastID = id

		if err := s.take(data); err != nil {
			return s, err
		}

		if first != nil && s.text != "" {
			first()
			first = nil
		}
	}

	return s, scanner.Err()
}

// take adds one event.
func (s *streamed) take(data string) error {
	if data == "[DONE]" {
		s.whole = true

		return nil
	}

	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}

	s.refused += string(chunk.Error)

	for _, c := range chunk.Choices {
		s.text += c.Delta.Content
	}

	return nil
}

// goOn reconnects, like a caller behind the balancer, to one live instance after
// the other until the answer is whole or finally refused.
func (d *deployment) goOn(entries []*entry, content string, maxTokens int, seen streamed) (streamed, error) {
	for i := 0; !seen.whole && seen.refused == "" && d.ctx.Err() == nil; i++ {
		var err error

		seen, err = d.askWith(d.ctx, entries[i%len(entries)], content, maxTokens, seen, nil)
		if err == nil && seen.status != http.StatusOK {
			return seen, nil
		}
	}

	return seen, d.ctx.Err()
}
