package provider

import (
	"context"

	"monsoonlever/fleet"
)

// State is the life-cycle state of a listed instance.
type State string

// The states of the instance list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Listing is the entry of one instance in the instance list.
type Listing struct {
	ID      fleet.InstanceID    `json:"id"`
	Service fleet.Service       `json:"service"`
	Address string              `json:"address"`
	Domain  fleet.FailureDomain `json:"domain"`
	Class   Class               `json:"class"`
	State   State               `json:"state"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Listings(ctx context.Context) ([]Listing, error)
}
