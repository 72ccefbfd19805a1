package provider

import (
	"context"
	"errors"
	"time"

	"monsoonlever/fleet"
)

// Class names a machine class of the cloud API.
type Class string

// Market tells how an instance is paid for.
type Market string

// The two markets of the cloud API.
const (
	Reclaimable Market = "reclaimable"
	OnDemand    Market = "onDemand"
)

// Offer is the present price of a class in a failure domain.
type Offer struct {
	Class        Class               `json:"class"`
	Domain       fleet.FailureDomain `json:"domain"`
	Market       Market              `json:"market"`
	PricePerHour float64             `json:"pricePerHour"`
}

// Purchase asks for one instance. Token makes it idempotent: the cloud API
// returns the instance that the first purchase with that token made.
type Purchase struct {
	Token  string              `json:"token"`
	Class  Class               `json:"class"`
	Domain fleet.FailureDomain `json:"domain"`
	Market Market              `json:"market"`
}

// Instance is an instance the cloud API knows, paid for until released.
type Instance struct {
	ID      fleet.InstanceID    `json:"id"`
	Token   string              `json:"token"`
	Class   Class               `json:"class"`
	Domain  fleet.FailureDomain `json:"domain"`
	Market  Market              `json:"market"`
	Address string              `json:"address"`
	Since   time.Time           `json:"since"`
}

// ReclaimNotice says that an instance will be reclaimed.
type ReclaimNotice struct {
	Sequence uint64           `json:"sequence"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Cloud is the platform's API for instances.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	// Buy returns ErrNoCapacity if the purchase was refused. Any other error
	// means that it may have taken effect.
	Buy(ctx context.Context, p Purchase) (Instance, error)
	Release(ctx context.Context, id fleet.InstanceID) error
	Instances(ctx context.Context) ([]Instance, error)
	// Notices returns the reclaim notices after a sequence number.
	Notices(ctx context.Context, after uint64) ([]ReclaimNotice, error)
}

// ErrNoCapacity is wrapped by a purchase that the cloud API refused.
var ErrNoCapacity = errors.New("no capacity for the purchase")
