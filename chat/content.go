package chat

import (
	"encoding/json"
	"errors"
	"strings"
)

// Content is the text of a message, which the API encodes as a string or as a list of
// content parts.
type Content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, null, or a list of text parts. It returns an error
// for parts of other types, such as images.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*c = Content(*text)
		}

		return nil
	}

	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}

	var b strings.Builder

	for _, p := range parts {
		if p.Type != "text" {
			return errors.New("content part of type " + p.Type + " is not supported")
		}

		b.WriteString(p.Text)
	}

	*c = Content(b.String())

	return nil
}
