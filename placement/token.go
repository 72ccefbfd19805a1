package placement

import (
	"fmt"
	"strconv"
	"strings"

	"monsoonlever/lease"
)

// Token names one intent to buy. It is derived from the intent's place under
// the lease, so that every holder derives the same one.
type Token struct {
	Fence    lease.Fence `msgpack:"fence"`
	Sequence uint64      `msgpack:"sequence"`
}

// Purchase returns the token as the cloud API gets it, under the name of the
// owner whose instances are managed.
func (t Token) Purchase(owner string) string {
	return fmt.Sprintf("%s/%d/%d", owner, t.Fence, t.Sequence)
}

// ParseToken reads a purchase token and tells whether it is of the owner.
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
