package scheduling

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"monsoonlever/register"
)

// maxDeparted bounds how many servers are remembered whose entry is not there.
const maxDeparted = 1024

// departed is what servers announced whose entry is not there. Entries lapse while the
// platform's store is away, and come back with it: what the same start announced before holds
// then. The zero value is empty.
type departed struct {
	known *simplelru.LRU[register.Process, *announcements]
}

func (d *departed) add(start register.Process, a *announcements) {
	if d.known == nil {
		// It fails for a size that is not positive only.
		d.known, _ = simplelru.NewLRU[register.Process, *announcements](maxDeparted, nil)
	}

	d.known.Add(start, a)
}

// take returns what a start announced before, or nil, and forgets it.
func (d *departed) take(start register.Process) *announcements {
	if d.known == nil {
		return nil
	}

	a, _ := d.known.Peek(start)
	d.known.Remove(start)

	return a
}
