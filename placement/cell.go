package placement

import (
	"fmt"

	"monsoonlever/fleet"
	"monsoonlever/platform"
)

// Cell is a place where instances are bought: one failure domain, machine class
// and market.
type Cell struct {
	Domain fleet.FailureDomain `msgpack:"domain"`
	Class  platform.Class      `msgpack:"class"`
	Market platform.Market     `msgpack:"market"`
}

// String returns the cell as domain/class/market.
func (c Cell) String() string {
	return fmt.Sprintf("%s/%s/%s", c.Domain, c.Class, c.Market)
}
