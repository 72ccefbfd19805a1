package membership

import (
	"cmp"
	"context"
)

// pollInstanceList looks at the platform's list from time to time.
func (g *Group) pollInstanceList(ctx context.Context) {
	for {
		g.readInstanceList(ctx)

		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(cmp.Or(g.ListInterval, defaultListInterval)):
		}
	}
}

// readInstanceList takes over the addresses of the list. While the list is down the
// last ones stay.
func (g *Group) readInstanceList(ctx context.Context) {
	listings, err := g.List.Listings(ctx)
	if err != nil {
		failedListings.Inc()

		return
	}

	var addresses []string

	for _, l := range listings {
		if address, ok := g.Locate(l); ok {
			addresses = append(addresses, address)
		}
	}

	g.mu.Lock()
	g.listedAddresses = addresses
	g.mu.Unlock()
	g.queueCommand(func(o *ownerCommands) { o.discover = true })
}
