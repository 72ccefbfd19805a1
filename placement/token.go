package placement

import (
	"fmt"
	"strconv"
	"strings"

	"monsoonlever/lease"
)

// Token identifies one purchase intent. It is derived from the grant and the
// sequence number of the intent's record, so every lease holder derives the
// same token.
type Token struct {
	Fence    lease.Fence `msgpack:"fence"`
	Sequence uint64      `msgpack:"sequence"`
}

// Purchase returns the token in the form passed to the cloud API, prefixed with
// the owner of the instances.
func (t Token) Purchase(owner string) string {
	return fmt.Sprintf("%s/%d/%d", owner, t.Fence, t.Sequence)
}

// ParseToken parses a purchase token and reports whether it is valid and belongs to
// the owner.
func ParseToken(owner, text string) (Token, bool) {
	rest, ok := strings.CutPrefix(text, owner+"/")
	if !ok {
		return Token{}, false
	}

	fence, sequence, ok := strings.Cut(rest, "/")
	if !ok {
		return Token{}, false
	}

	f, errF := strconv.ParseUint(fence, 10, 64)
	s, errS := strconv.ParseUint(sequence, 10, 64)

	return Token{Fence: lease.Fence(f), Sequence: s}, errF == nil && errS == nil
}

func (t Token) less(other Token) int {
	if t.Fence != other.Fence {
		if t.Fence < other.Fence {
			return -1
		}

		return 1
	}

	if t.Sequence < other.Sequence {
		return -1
	}

	if t.Sequence > other.Sequence {
		return 1
	}

	return 0
}
