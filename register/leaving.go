package register

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxLeavingProcesses bounds the stored leaving processes: a leaving server terminates within
// minutes, so that most of them have terminated long ago.
const maxLeavingProcesses = 4096

// leavingProcesses are the processes that are known to leave, including those without an entry,
// since an entry may expire and be written again. The zero value is empty.
type leavingProcesses struct {
	processes *simplelru.LRU[Process, struct{}]
}

func (l *leavingProcesses) add(process Process) {
	if l.processes == nil {
		// NewLRU returns an error only for a size that is not positive.
		l.processes, _ = simplelru.NewLRU[Process, struct{}](maxLeavingProcesses, nil)
	}

	l.processes.Add(process, struct{}{})
}

func (l *leavingProcesses) has(process Process) bool {
	return l.processes != nil && l.processes.Contains(process)
}
