package register

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxLeavingProcesses bounds how many starts are remembered to leave: a server that leaves ends
// within minutes, and most of those are long gone.
const maxLeavingProcesses = 4096

// leavingProcesses are the starts of servers that are known to leave, also those whose entry is
// not there: it may lapse and come back. The zero value is empty.
type leavingProcesses struct {
	processes *simplelru.LRU[Process, struct{}]
}

func (l *leavingProcesses) add(process Process) {
	if l.processes == nil {
		// It fails for a size that is not positive only.
		l.processes, _ = simplelru.NewLRU[Process, struct{}](maxLeavingProcesses, nil)
	}

	l.processes.Add(process, struct{}{})
}

func (l *leavingProcesses) has(process Process) bool {
	return l.processes != nil && l.processes.Contains(process)
}
