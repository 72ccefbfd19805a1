package resumption

import (
	"slices"
	"sync"

	"monsoonlever/fleet"
)

// queries matches replies to the queries of this instance. The zero value is ready for use.
type queries struct {
	mu      sync.Mutex
	number  uint64
	pending map[uint64]*query
}

// query is a query to several instances.
type query struct {
	// silent are the instances that have not replied; complete is closed once there are none.
	silent   []fleet.InstanceID
	complete chan struct{}
	replies  chan Reply
}

// open adds a query to several instances.
func (q *queries) open(asked []fleet.InstanceID) (*query, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.pending == nil {
		q.pending = make(map[uint64]*query)
	}

	q.number++
	// Each instance is asked in each round, and may reply to each.
	opened := &query{silent: slices.Clone(asked), complete: make(chan struct{}), replies: make(chan Reply, queryRounds*len(asked))}

	if len(asked) == 0 {
		close(opened.complete)
	}

	q.pending[q.number] = opened

	return opened, q.number
}

func (q *queries) close(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, number)
}

// unanswered returns the instances that have not replied to a query.
func (q *queries) unanswered(number uint64) []fleet.InstanceID {
	q.mu.Lock()
	defer q.mu.Unlock()

	if opened := q.pending[number]; opened != nil {
		return slices.Clone(opened.silent)
	}

	return nil
}

// reply delivers a reply to its query. A repeated one, and one that comes too late, is discarded.
func (q *queries) reply(r Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()

	opened := q.pending[r.Number]
	if opened == nil {
		return
	}

	i := slices.Index(opened.silent, r.From)
	if i < 0 {
		return
	}

	opened.silent = slices.Delete(opened.silent, i, i+1)
	opened.replies <- r

	if len(opened.silent) == 0 {
		close(opened.complete)
	}
}
