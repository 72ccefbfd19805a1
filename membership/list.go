package membership

import (
	"cmp"
	"context"
)

// followList looks at the platform's list from time to time.
func (g *Group) followList(ctx context.Context) {
	for {
		g.readList(ctx)

		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(cmp.Or(g.ListInterval, defaultListInterval)):
		}
	}
}

// readList takes over the addresses of the list. While the list is down the
// last ones stay.
func (g *Group) readList(ctx context.Context) {
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
	g.listed = addresses
	g.mu.Unlock()
	g.order(func(o *orders) { o.discover = true })
}
