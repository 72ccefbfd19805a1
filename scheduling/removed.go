package scheduling

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"monsoonlever/register"
)

// maxRemovedServers bounds how many servers are remembered whose entry is not there.
const maxRemovedServers = 1024

// removedServers is what servers announced whose entry is not there. Entries lapse while the
// platform's store is away, and come back with it: what the same start announced before holds
// then. The zero value is empty.
type removedServers struct {
	announcements *simplelru.LRU[register.Process, *announcements]
}

func (d *removedServers) add(start register.Process, a *announcements) {
	if d.announcements == nil {
		// It fails for a size that is not positive only.
		d.announcements, _ = simplelru.NewLRU[register.Process, *announcements](maxRemovedServers, nil)
	}

	d.announcements.Add(start, a)
}

// take returns what a start announced before, or nil, and forgets it.
func (d *removedServers) take(start register.Process) *announcements {
	if d.announcements == nil {
		return nil
	}

	a, _ := d.announcements.Peek(start)
	d.announcements.Remove(start)

	return a
}
