package comparison

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/routing"
)

// DefaultTablePolicy is the default policy of routing.Table.
var DefaultTablePolicy = routing.Policy{}

var (
	start     = time.Unix(1_800_000_000, 0)
	engineKey = routing.NewKey("ledger-llm", "", "", "")
)

// tableChooser chooses servers with a routing.Table.
type tableChooser struct {
	table   *routing.Table
	random  *rand.PCG
	ids     []fleet.InstanceID
	indexes map[fleet.InstanceID]int
}

// TablePolicy returns a policy that chooses servers with a routing.Table with the given
// settings.
func TablePolicy(name string, p routing.Policy) Policy {
	return Policy{Name: name, New: func(s Scenario, random *rand.PCG) Chooser {
		c := &tableChooser{
			table:   &routing.Table{Policy: p, Self: fleet.InstanceID(fmt.Sprint(random.Uint64()))},
			random:  random,
			indexes: make(map[fleet.InstanceID]int, s.Servers),
		}

		var listings []provider.Listing

		for i := range s.Servers {
			id := fleet.InstanceID(fmt.Sprintf("server-%04d", i))
			c.ids = append(c.ids, id)
			c.indexes[id] = i
			listings = append(listings, provider.Listing{
				ID:      id,
				Service: engineKey.Service(),
				Address: string(id),
				State:   provider.Live,
			})
		}

		c.table.UpdateList(start, listings)
		c.table.UpdateEntryCount(start, s.Entries)

		for _, id := range c.ids {
			c.table.Report(start, id, backend.LoadReport{At: start, Capacity: slotsPerServer})
		}

		return c
	}}
}

// Choose implements Chooser.
func (c *tableChooser) Choose(now time.Duration, prefix uint64) (int, DoneFunc) {
	request := routing.NewRequest(engineKey).WithPrefix(prefix).WithIdempotent()

	choice, err := c.table.Pick(start.Add(now), c.random, request)
	if err != nil {
		panic(err) // The simulated servers never leave.
	}

	choice.Begin(start.Add(now))

	return c.indexes[choice.ID()], func(now, latency time.Duration, tokens int) {
		choice.Done(start.Add(now), latency, tokens)
	}
}

// Report implements Chooser.
func (c *tableChooser) Report(now time.Duration, server int, r backend.LoadReport) {
	c.table.Report(start.Add(now), c.ids[server], r)
}

// CacheEvents implements Chooser.
func (c *tableChooser) CacheEvents(now time.Duration, server int, events []backend.CacheEvent) {
	c.table.CacheEvents(start.Add(now), c.ids[server], events)
}

// Tick implements Chooser.
func (c *tableChooser) Tick(now time.Duration) {
	c.table.Tick(start.Add(now), c.random)
}
