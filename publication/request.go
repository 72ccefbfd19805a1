package publication

import "monsoonlever/provider"

// Request asks a Publisher for one publication.
type Request struct {
	// Base is the version that the manifest was derived from, 0 for none.
	Base provider.Offset
	// File names the manifest in findings.
	File string
	// Data is the manifest's text.
	Data []byte
	// Operator says who publishes.
	Operator string
}
