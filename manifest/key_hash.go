package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyHash is the SHA-256 of a caller's secret.
type keyHash = [sha256.Size]byte

// KeyHash returns the text under which a manifest lists a caller's secret.
func KeyHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))

	return hex.EncodeToString(sum[:])
}

func parseKeyHash(text string) (keyHash, bool) {
	var hash keyHash

	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, false
	}

	copy(hash[:], raw)

	return hash, true
}
