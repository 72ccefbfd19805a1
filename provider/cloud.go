package provider

import (
	"context"
	"errors"
	"time"

	"monsoonlever/fleet"
)

// Class names a machine class of the cloud API.
type Class string

// Market is the purchasing option of an instance.
type Market string

// The markets of the cloud API.
const (
	Reclaimable Market = "reclaimable"
	OnDemand    Market = "onDemand"
)

// Offer is the current price of a class in a failure domain and market.
type Offer struct {
	Class        Class               `json:"class"`
	Domain       fleet.FailureDomain `json:"domain"`
	Market       Market              `json:"market"`
	PricePerHour float64             `json:"pricePerHour"`
}

// Purchase requests one instance. Token makes the purchase idempotent: the cloud API returns
// the instance of the first purchase with the same token.
type Purchase struct {
	Token  string              `json:"token"`
	Class  Class               `json:"class"`
	Domain fleet.FailureDomain `json:"domain"`
	Market Market              `json:"market"`
}

// Instance is an instance that was bought from the cloud API. It is charged until it is
// released.
type Instance struct {
	ID      fleet.InstanceID    `json:"id"`
	Token   string              `json:"token"`
	Class   Class               `json:"class"`
	Domain  fleet.FailureDomain `json:"domain"`
	Market  Market              `json:"market"`
	Address string              `json:"address"`
	Since   time.Time           `json:"since"`
}

// ReclaimNotice announces that the cloud API will reclaim an instance.
type ReclaimNotice struct {
	Sequence uint64           `json:"sequence"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Cloud is the platform's API to buy and release instances.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	// Buy buys one instance. Its error wraps ErrNoCapacity if the purchase was refused. After
	// any other error, the purchase may have taken effect.
	Buy(ctx context.Context, p Purchase) (Instance, error)
	Release(ctx context.Context, id fleet.InstanceID) error
	Instances(ctx context.Context) ([]Instance, error)
	// Notices returns the reclaim notices with a sequence number above after.
	Notices(ctx context.Context, after uint64) ([]ReclaimNotice, error)
}

// ErrNoCapacity means that the cloud API refused a purchase.
var ErrNoCapacity = errors.New("no capacity for the purchase")
