package placement

import "monsoonlever/fleet"

// Intent is one instance that is wanted, bought or on its way out.
type Intent struct {
	Token   Token         `msgpack:"token"`
	Service fleet.Service `msgpack:"service"`
	Cell    Cell          `msgpack:"cell"`
	Retired bool          `msgpack:"retired"`
}
