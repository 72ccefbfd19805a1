package placement

import (
	"cmp"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Cell is a place where instances are bought: one failure domain, machine class
// and market.
type Cell struct {
	Domain fleet.FailureDomain `msgpack:"domain"`
	Class  provider.Class      `msgpack:"class"`
	Market provider.Market     `msgpack:"market"`
}

// String returns the cell as domain/class/market.
func (c Cell) String() string {
	return string(c.Domain) + "/" + string(c.Class) + "/" + string(c.Market)
}

func (c Cell) compare(other Cell) int {
	return cmp.Or(
		cmp.Compare(c.Domain, other.Domain),
		cmp.Compare(c.Class, other.Class),
		cmp.Compare(c.Market, other.Market),
	)
}
