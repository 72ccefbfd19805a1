package admission

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
)

// MaxDemandAccounts bounds the accounts of one digest; MaxDemandBytes bounds
// its encoded form.
const (
	MaxDemandAccounts = 48
	MaxDemandBytes    = 800
)

// Demand tells the other entry instances how much of each account's limits
// this one wants. Accounts that are not listed have the weight Floor.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// At is when the digest was made, in Unix milliseconds.
	At       int64
	Floor    float32
	Accounts []AccountDemand
}

// AccountDemand is the weight of one account, named by the hash of its name.
type AccountDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  uint64
	Weight   float32
}

// Encode returns the digest in at most MaxDemandBytes.
func (d Demand) Encode() ([]byte, error) {
	return msgpack.Marshal(&d)
}

// DecodeDemand reads a digest.
func DecodeDemand(b []byte) (Demand, error) {
	var d Demand
	err := codec.Unmarshal(b, &d)

	return d, err
}

// demandEstimate is what an account wants on this instance.
type demandEstimate struct {
	// fraction is the smoothed part of the limits that callers ask for, from 0 to 1.
	fraction   float64
	measuredAt time.Time
}
