package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// exchange sends a JSON message, if any, and decodes the answer, if one is wanted.
func (s sender) exchange(ctx context.Context, method, url string, message, answer any) error {
	body, err := encode(message)
	if err != nil {
		return err
	}

	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return err
	}

	resp, err := s.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to be read

	if resp.StatusCode >= http.StatusMultipleChoices {
		return errorOf(resp)
	}

	reply, err := readReply(resp.Body)
	if err != nil {
		return merry.Prepend(err, "read answer")
	}

	if answer == nil {
		return nil
	}

	if err := json.Unmarshal(reply, answer); err != nil {
		return merry.Prepend(err, "decode answer")
	}

	return nil
}

func encode(message any) ([]byte, error) {
	if message == nil {
		return nil, nil
	}

	body, err := json.Marshal(message)
	if err != nil {
		return nil, merry.Prepend(err, "encode request")
	}

	return body, nil
}
