package chat

import (
	"encoding/json"
	"errors"
	"strings"
)

// Content is the text of a message. The API allows a string or a list of parts.
type Content string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON accepts a string, null, or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*c = Content(*text)
		}

		return nil
	}

	var parts []part
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
