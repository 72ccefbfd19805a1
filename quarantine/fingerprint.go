package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"monsoonlever/fleet"
)

// Fingerprint names what a caller asks for, whichever attempt it is: each attempt has an
// id of its own. Two of a million requests share one in ten million days.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: the same one for the same account,
// method, host, target and body. The account is empty where callers need no key.
func FingerprintOf(account fleet.Account, method, host, target string, body []byte) Fingerprint {
	d := sha256.New()

	for _, field := range []string{string(account), method, host, target} {
		// The length keeps fields apart. Writing to a hash never fails.
		_, _ = d.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}

	_, _ = d.Write(body)

	return Fingerprint(binary.BigEndian.Uint64(d.Sum(nil)))
}

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
