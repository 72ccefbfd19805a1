package answer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the tokens of an answer up to an offset. Two texts that
// differ anywhere before an offset have different digests there.
type Digest uint64

// Next returns the digest after one more token.
func (d Digest) Next(token string) Digest {
	var h xxhash.Digest

	h.ResetWithSeed(uint64(d))
	// The length keeps "a","bc" and "ab","c" apart.
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(token)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(token)

	return Digest(h.Sum64())
}

// DigestOf returns the digest after all of the tokens.
func DigestOf(tokens []string) Digest {
	var d Digest
	for _, t := range tokens {
		d = d.Next(t)
	}

	return d
}
