package membership

import (
	"cmp"
	"context"
)

// pollInstanceList reads the platform's instance list at every ListInterval.
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

// readInstanceList replaces the listed addresses by those of the instance list.
// When the read fails, the addresses of the last successful read stay in use.
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
