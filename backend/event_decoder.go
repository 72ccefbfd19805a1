package backend

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// maxOffsetDigits keeps a parsed offset within the range of a 32-bit int.
const maxOffsetDigits = 9

var (
	fieldAttempt = []byte(`{"attempt":"`)
	fieldOffset  = []byte(`","offset":`)
	fieldToken   = []byte(`,"token":"`)
	eventEnd     = []byte(`"}`)
)

// eventDecoder decodes token events. An event of the decoder's attempt that has only an offset
// and a token, in the field order of TokenEvent, costs one allocation. All other events are
// decoded by encoding/json.
type eventDecoder struct {
	attempt AttemptID
}

func (d eventDecoder) decode(data []byte) (TokenEvent, error) {
	if event, ok := d.decodeTokenOnly(data); ok {
		return event, nil
	}

	var event TokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return TokenEvent{}, merry.Wrap(ErrMalformedEvent, merry.WithCause(err))
	}

	if event.Attempt == "" || event.Offset < 0 {
		return TokenEvent{}, merry.Prepend(ErrMalformedEvent, "event lacks its attempt or offset")
	}

	return event, nil
}

func (d eventDecoder) decodeTokenOnly(data []byte) (TokenEvent, bool) {
	rest, ok := bytes.CutPrefix(data, fieldAttempt)
	if !ok || len(rest) < len(d.attempt) || string(rest[:len(d.attempt)]) != string(d.attempt) {
		return TokenEvent{}, false
	}

	rest, ok = bytes.CutPrefix(rest[len(d.attempt):], fieldOffset)
	if !ok {
		return TokenEvent{}, false
	}

	offset, rest, ok := cutOffset(rest)
	if !ok {
		return TokenEvent{}, false
	}

	rest, ok = bytes.CutPrefix(rest, fieldToken)
	if !ok {
		return TokenEvent{}, false
	}

	token, ok := bytes.CutSuffix(rest, eventEnd)
	if !ok || !isUnescapedText(token) {
		return TokenEvent{}, false
	}

	return TokenEvent{Attempt: d.attempt, Offset: offset, Token: string(token)}, true
}

func cutOffset(data []byte) (int, []byte, bool) {
	digits := 0
	offset := 0

	for digits < len(data) && data[digits] >= '0' && data[digits] <= '9' {
		offset = offset*10 + int(data[digits]-'0')
		digits++

		if digits > maxOffsetDigits {
			return 0, nil, false
		}
	}

	leadingZero := digits > 1 && data[0] == '0'

	return offset, data[digits:], digits > 0 && !leadingZero
}

// isUnescapedText reports whether the content of a JSON string is valid UTF-8 without escapes, so
// that it needs no decoding.
func isUnescapedText(s []byte) bool {
	for _, b := range s {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}

	return utf8.Valid(s)
}
