package answer

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrEventID is wrapped by the error for a Last-Event-ID that is not valid.
var ErrEventID = merry.Sentinel("event id is not valid")

// EventID tells how much of an answer a caller has. It travels as the id of a
// server-sent event and comes back as Last-Event-ID.
type EventID struct {
	Request RequestID
	// Offset counts the tokens that the caller has.
	Offset int
	// Digest identifies those tokens.
	Digest Digest
}

// String returns the id as "<request>.<offset>.<digest>".
func (e EventID) String() string {
	return string(e.Request) + "." + strconv.Itoa(e.Offset) + "." + strconv.FormatUint(uint64(e.Digest), 16)
}

// ParseEventID reads the form of String. "<request>.0" will do for a caller
// that has nothing yet.
func ParseEventID(s string) (EventID, error) {
	parts := strings.Split(s, ".")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" {
		return EventID{}, merry.Prependf(ErrEventID, "parts of %q", s)
	}

	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return EventID{}, merry.Prependf(ErrEventID, "offset of %q", s)
	}

	id := EventID{Request: RequestID(parts[0]), Offset: offset}

	if len(parts) == 2 {
		if offset > 0 {
			return EventID{}, merry.Prependf(ErrEventID, "digest of %q", s)
		}

		return id, nil
	}

	digest, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return EventID{}, merry.Prependf(ErrEventID, "digest of %q", s)
	}

	id.Digest = Digest(digest)

	return id, nil
}
