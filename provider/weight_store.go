package provider

import (
	"context"
	"time"

	"monsoonlever/fleet"
)

// WeightStore is the platform's rate-limited weight store.
type WeightStore interface {
	// Fetch fetches one model version and returns the duration of the transfer, which depends
	// on the rate limit of the store.
	Fetch(ctx context.Context, model fleet.Model, version fleet.ModelVersion) (time.Duration, error)
}
