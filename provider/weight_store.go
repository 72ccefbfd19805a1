package provider

import (
	"context"
	"time"

	"monsoonlever/fleet"
)

// WeightStore is the platform's rate-limited weight store.
type WeightStore interface {
	// Fetch takes one model version from the store and returns the time that
	// the transfer took at the store's rate.
	Fetch(ctx context.Context, model fleet.Model, version fleet.ModelVersion) (time.Duration, error)
}
