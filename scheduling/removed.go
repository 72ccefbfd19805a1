package scheduling

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"monsoonlever/register"
)

// maxRemovedServers bounds how many server processes without a register entry are remembered.
const maxRemovedServers = 1024

// removedServers keeps the announcements of server processes without a register entry. Entries
// lapse during an outage of the platform's store and come back afterwards; the announcements of
// the same process apply again then. The zero value is empty.
type removedServers struct {
	announcements *simplelru.LRU[register.Process, *announcements]
}

func (r *removedServers) add(process register.Process, a *announcements) {
	if r.announcements == nil {
		// NewLRU only fails if the size is not positive.
		r.announcements, _ = simplelru.NewLRU[register.Process, *announcements](maxRemovedServers, nil)
	}

	r.announcements.Add(process, a)
}

// take removes and returns the announcements of a server process, or returns nil.
func (r *removedServers) take(process register.Process) *announcements {
	if r.announcements == nil {
		return nil
	}

	a, _ := r.announcements.Peek(process)
	r.announcements.Remove(process)

	return a
}
