package entry

import (
	"testing"

	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/topology"
)

// Guards against instances that each have the whole fixed part of the retries, from the moment at
// which the first directory is complete until they divide it.
func TestFirstDirectoryDividesRetriesBeforeTheyAreGranted(t *testing.T) {
	const instances, extra = 72, 144

	p, _ := newComponentsRefusingWrites(t)
	p.bounds.Load().RetryExtra = extra
	p.splitBudgets()

	relays := []topology.Member{p.links.Self}
	p.useDirectory(newDirectoryView(&directory.Directory{Relays: relays, Count: 1, Forming: true}, p.clock.Now(), feed.PositionOf(1, 1)))
	p.splitBudgets()
	p.useDirectory(newDirectoryView(&directory.Directory{Relays: relays, Count: instances}, p.clock.Now(), feed.PositionOf(1, 2)))

	if got, want := p.retries.MinRetries(p.clock.Now()), float64(extra)/instances; got != want {
		t.Errorf("retries beside the share: got %v, want %v of %d", got, want, extra)
	}
}
