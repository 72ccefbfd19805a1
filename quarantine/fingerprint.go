package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"monsoonlever/fleet"
)

// Fingerprint identifies the content of a request across attempts, each of which has its own
// id. Among a million requests a day, two share a fingerprint on less than one day in ten
// million.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, derived from its account, method, host,
// target and body. The account is empty where callers need no key.
func FingerprintOf(account fleet.Account, method, host, target string, body []byte) Fingerprint {
	return Fingerprint(hashFields([]string{string(account), method, host, target}, body))
}

// hashFields returns 64 bits of a cryptographic hash of some fields and the rest.
func hashFields(fields []string, rest []byte) uint64 {
	d := sha256.New()

	for _, field := range fields {
		// The length prefix separates the fields. Writing to a hash never fails.
		_, _ = d.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}

	_, _ = d.Write(rest)

	return binary.BigEndian.Uint64(d.Sum(nil))
}

// String returns the fingerprint as logged.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
