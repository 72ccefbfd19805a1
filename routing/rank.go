package routing

import (
	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// rank returns the rank of a server for the entry instance self. Each entry instance
// ranks the servers in a different pseudorandom order.
func rank(self, server fleet.InstanceID) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(string(self))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(server))

	return d.Sum64()
}
