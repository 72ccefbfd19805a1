package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"monsoonlever/answer"
	"monsoonlever/fleet"
	"monsoonlever/refusal"
)

// missingAnswers is a RetainedAnswers in which a lookup ends with an error.
type missingAnswers struct {
	RetainedAnswers

	err error
}

func (m *missingAnswers) Follow(context.Context, fleet.Account, answer.EventID, answer.Caller) error {
	return m.err
}

// Guards against telling a caller that an answer is unknown while an instance that may
// have it has not replied.
func TestAnswerIsUnknownOnlyIfAllInstancesReplied(t *testing.T) {
	tests := []struct {
		desc       string
		err        error
		status     int
		code       refusal.Code
		retryAfter bool
	}{
		{desc: "an instance is silent", err: answer.ErrNoReply, status: http.StatusServiceUnavailable, code: refusal.AnswerUnreachable, retryAfter: true},
		{desc: "all replied in time", err: answer.ErrNotFoundYet, status: http.StatusNotFound, code: refusal.UnknownAnswer},
		{desc: "all replied", err: answer.ErrUnknownAnswer, status: http.StatusNotFound, code: refusal.UnknownAnswer},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := newGateway(t)
			g.Retained = &missingAnswers{err: tt.err}

			request := httptest.NewRequest(http.MethodGet, answersPath+"r0", http.NoBody)
			request.Header.Set("Authorization", "Bearer "+testSecret)

			response := httptest.NewRecorder()
			g.Handler().ServeHTTP(response, request)

			if got := response.Code; got != tt.status {
				t.Errorf("status: got %d, want %d", got, tt.status)
			}

			if got := response.Header().Get("Retry-After") != ""; got != tt.retryAfter {
				t.Errorf("Retry-After is sent: got %v, want %v", got, tt.retryAfter)
			}

			var body refusal.Body
			if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Code != tt.code {
				t.Errorf("code: got %q, %v, want %q", body.Error.Code, err, tt.code)
			}
		})
	}
}
