package placement

// Forecast is the current and expected load of one service.
type Forecast struct {
	// Now is the smoothed measured load.
	Now Load
	// Need is the load expected when an instance bought now becomes ready.
	Need Load
	// Peak is the greatest Need within the forecaster's HoldDown; no capacity below
	// it is retired.
	Peak Load
}
