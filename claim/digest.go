package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is the hash of a request's content. All attempts with the same key must have the
// same digest.
type Digest [idBytes]byte

// DigestOf returns the digest of the components of a request, such as its method, path and
// body. The length of each component is hashed too, so that different splits of the same
// bytes have different digests.
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
