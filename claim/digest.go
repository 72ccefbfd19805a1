package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is the hash of what a request asks for. One key stands for one
// digest only.
type Digest [idBytes]byte

// DigestOf returns the digest of the parts of a request, such as its method,
// path and body.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()

	for _, part := range parts {
		var size [8]byte

		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}

	return Digest(h.Sum(nil)[:idBytes])
}
