package placement

// Forecast is the load of one service and what to be ready for.
type Forecast struct {
	// Now is the load as measured, smoothed.
	Now Load
	// Need is the load expected by the time a purchase made now serves.
	Need Load
	// Peak is the greatest need of late; nothing is given up below it.
	Peak Load
}
