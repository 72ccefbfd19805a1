package claim

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"monsoonlever/fleet"
)

// Key identifies one non-idempotent request. An idempotency key is unique within a service
// and a client account.
type Key struct {
	service fleet.Service
	account fleet.Account
	value   string
}

// NewKey returns the Key of a caller's idempotency key.
func NewKey(service fleet.Service, account fleet.Account, value string) Key {
	return Key{service: service, account: account, value: value}
}

// Service returns the service that the request calls.
func (k Key) Service() fleet.Service { return k.service }

// Account returns the client account of the caller.
func (k Key) Account() fleet.Account { return k.account }

// Value returns the idempotency key as the caller sent it.
func (k Key) Value() string { return k.value }

// idBytes is the size of a KeyID. Two keys are confused only if they collide in 128 bits of
// SHA-256.
const idBytes = 16

// KeyID is the hash of a Key. It identifies the key in records and in memory.
type KeyID [idBytes]byte

// ID returns the hash of the key.
func (k Key) ID() KeyID {
	h := sha256.New()
	for _, part := range []string{string(k.service), string(k.account), k.value} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}

	return KeyID(h.Sum(nil)[:idBytes])
}

// CreatedAt returns the creation time encoded in the value, and whether the value is a UUID
// of version 7.
func (k Key) CreatedAt() (time.Time, bool) {
	id, err := uuid.Parse(k.value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}

	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}

	return time.UnixMilli(millis), true
}
