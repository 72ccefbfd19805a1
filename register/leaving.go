package register

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxLeaving bounds how many starts are remembered to leave: a server that leaves ends
// within minutes, and most of those are long gone.
const maxLeaving = 4096

// leavingStarts are the starts of servers that are known to leave, also those whose entry is
// not there: it may lapse and come back. The zero value is empty.
type leavingStarts struct {
	known *simplelru.LRU[Process, struct{}]
}

func (l *leavingStarts) add(start Process) {
	if l.known == nil {
		// It fails for a size that is not positive only.
		l.known, _ = simplelru.NewLRU[Process, struct{}](maxLeaving, nil)
	}

	l.known.Add(start, struct{}{})
}

func (l *leavingStarts) has(start Process) bool {
	return l.known != nil && l.known.Contains(start)
}
