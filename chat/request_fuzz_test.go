package chat

import (
	"encoding/json"
	"testing"
)

// FuzzParseRequest checks that a body is either rejected, or parsed into a request
// within the limits that stays the same when it is encoded and parsed again. The
// corpus in testdata runs as part of the tests.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true}`))

	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseRequest(body)
		if err != nil {
			if r.Model != "" || len(r.Messages) != 0 {
				t.Errorf("request: got %+v with an error, want none", r)
			}

			return
		}

		if r.Model == "" || len(r.Messages) == 0 || r.MaxOutputTokens() <= 0 || r.MaxOutputTokens() > MaxTokensLimit {
			t.Errorf("request: got %+v with limit %d, want one within the limits", r, r.MaxOutputTokens())
		}

		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}

		decoded, err := ParseRequest(encoded)
		if err != nil {
			t.Fatalf("parse encoded request: %v in %s", err, encoded)
		}

		if decoded.Prompt() != r.Prompt() || decoded.MaxOutputTokens() != r.MaxOutputTokens() || decoded.Stream != r.Stream {
			t.Errorf("parsed again: got %+v, want %+v", decoded, r)
		}
	})
}
