package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"monsoonlever/answer"
	"monsoonlever/fleet"
)

// losingAnswers is a RetainedAnswers whose answers are lost after a number of tokens.
type losingAnswers struct {
	tokens   int
	released int
}

func (l *losingAnswers) Start(_ context.Context, _ ModelRequest, _ bool, ended func(answer.Result)) error {
	ended(answer.Result{})

	return nil
}

func (l *losingAnswers) Follow(_ context.Context, _ fleet.Account, after answer.EventID, to answer.Caller) error {
	for range l.tokens {
		after.Offset++
		after.Digest = after.Digest.Next("word ")

		if err := to.Write(after, "word "); err != nil {
			return err
		}
	}

	return errors.New("the answer was lost")
}

func (l *losingAnswers) Release(answer.RequestID) { l.released++ }

func TestLostStreamEndsWithError(t *testing.T) {
	tests := []struct {
		desc   string
		tokens int
		status int
	}{
		{desc: "before its first token", status: http.StatusBadGateway},
		{desc: "midway", tokens: 3, status: http.StatusOK},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := newGateway(t)
			g.Retained = &losingAnswers{tokens: tt.tokens}

			server := httptest.NewServer(g.Handler())
			defer server.Close()

			body := `{"model": "ledger-large", "stream": true, "messages": [{"role": "user", "content": "hi"}]}`

			request, err := http.NewRequest(http.MethodPost, server.URL+PathChat, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}

			request.Header.Set("Authorization", "Bearer "+testSecret)

			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()

			got, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}

			if response.StatusCode != tt.status {
				t.Errorf("status: got %d, want %d", response.StatusCode, tt.status)
			}

			if !strings.Contains(string(got), `"error"`) || strings.Contains(string(got), "[DONE]") {
				t.Errorf("body: got %s, want an error and no [DONE] marker", got)
			}
		})
	}
}
