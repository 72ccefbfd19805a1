package burn

import "time"

// windowShape is one of the windows that are kept.
type windowShape struct {
	name  string
	slot  time.Duration
	slots int
}

const (
	day = 24 * time.Hour
	// budgetTime is the time that an error budget is for.
	budgetTime = 3 * day
)

// windowShapes are the windows of multi-window burn-rate alerts.
var windowShapes = [...]windowShape{
	{name: "5m", slot: 10 * time.Second, slots: 30},
	{name: "1h", slot: 5 * time.Minute, slots: 12},
	{name: "6h", slot: 15 * time.Minute, slots: 24},
	{name: "3d", slot: time.Hour, slots: int(budgetTime / time.Hour)},
}

// WindowNames lists the windows of a row in their order.
func WindowNames() []string {
	names := make([]string, 0, len(windowShapes))
	for _, shape := range windowShapes {
		names = append(names, shape.name)
	}

	return names
}
