package answer

import "monsoonlever/backend"

// arrivalBuffer is how many stream events wait for a slow caller.
const arrivalBuffer = 64

// arrival is what a goroutine of an attempt reports: a stream event, or the
// end of the stream or of an export.
type arrival struct {
	attempt backend.AttemptID
	stream  backend.TokenEvent
	err     error
	// other is set for an event that is no stream event.
	other Event
}
