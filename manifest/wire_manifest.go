package manifest

import (
	"time"

	"monsoonlever/fleet"
)

// DefaultSpareFailureDomains is how many failure domains may be lost at once
// where the manifest does not say.
const DefaultSpareFailureDomains = 1

type wireManifest struct {
	Name        string          `json:"name"`
	Currency    string          `json:"currency"`
	Regions     []wireRegion    `json:"regions"`
	Models      []wireModel     `json:"models"`
	Services    []wireService   `json:"services"`
	Accounts    []wireAccount   `json:"accounts"`
	Idempotency wireIdempotency `json:"idempotency"`
	Capacity    wireCapacity    `json:"capacity"`
}

type wireIdempotency struct {
	KeyWindow    time.Duration `json:"keyWindow"`
	LogRetention time.Duration `json:"logRetention"`
}

type wireCapacity struct {
	SpareFailureDomains int                   `json:"spareFailureDomains"`
	Services            []wireServiceCapacity `json:"services"`
}

type wireServiceCapacity struct {
	Service fleet.Service `json:"service"`
	Min     int           `json:"min"`
	Max     int           `json:"max"`
}
