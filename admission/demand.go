package admission

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
)

// MaxDemandAccounts limits the accounts of one digest; MaxDemandBytes limits its encoded size.
const (
	MaxDemandAccounts = 48
	MaxDemandBytes    = 800
)

// Demand is the digest by which an entry instance reports to the others how much of each account's
// limits it demands. Accounts that are not listed have the weight Floor.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// At is when the digest was published, in Unix milliseconds.
	At       int64
	Floor    float32
	Accounts []AccountDemand
}

// AccountDemand is the weight of one account, identified by the XXH64 hash of its name.
type AccountDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  uint64
	Weight   float32
}

// Encode returns the encoded digest, at most MaxDemandBytes if it lists at most MaxDemandAccounts.
func (d Demand) Encode() ([]byte, error) {
	return msgpack.Marshal(&d)
}

// DecodeDemand decodes a digest.
func DecodeDemand(b []byte) (Demand, error) {
	var d Demand
	err := codec.Unmarshal(b, &d)

	return d, err
}

// demandEstimate is the measured demand of an account on this instance.
type demandEstimate struct {
	// fraction is the demand as a fraction of the account's limits, from 0 to 1, smoothed.
	fraction   float64
	measuredAt time.Time
}
