package chat

import (
	"encoding/json"
	"testing"
)

// FuzzParseRequest holds that a body is refused, or parsed into a request
// within its bounds that means the same when it is written and read again. The
// corpus in testdata runs with the tests.
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
			t.Errorf("request: got %+v with limit %d, want one within its bounds", r, r.MaxOutputTokens())
		}

		again, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}

		reread, err := ParseRequest(again)
		if err != nil {
			t.Fatalf("written again: %v in %s", err, again)
		}

		if reread.Prompt() != r.Prompt() || reread.MaxOutputTokens() != r.MaxOutputTokens() || reread.Stream != r.Stream {
			t.Errorf("read again: got %+v, want %+v", reread, r)
		}
	})
}
