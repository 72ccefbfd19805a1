package placement

import "monsoonlever/fleet"

// Intent is one instance to buy, already bought, or being retired.
type Intent struct {
	Token   Token         `msgpack:"token"`
	Service fleet.Service `msgpack:"service"`
	Cell    Cell          `msgpack:"cell"`
	Retired bool          `msgpack:"retired"`
}
