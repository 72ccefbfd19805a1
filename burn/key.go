package burn

import "monsoonlever/fleet"

// key names a series.
type key struct {
	service fleet.Service
	account fleet.Account
	kind    fleet.CallKind
}
