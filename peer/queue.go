package peer

// queue is a bounded FIFO of frames. It is not safe for concurrent use.
type queue struct {
	limit  int
	frames []frame
}

// push adds f unless the queue is full, and reports whether it did.
func (q *queue) push(f frame) bool {
	if len(q.frames) >= q.limit {
		return false
	}

	q.frames = append(q.frames, f)

	return true
}

// pushDroppingOldest adds f, dropping the oldest frame if the queue is full, and
// reports whether it dropped one.
func (q *queue) pushDroppingOldest(f frame) bool {
	full := len(q.frames) >= q.limit
	if full {
		q.frames[0] = frame{}
		q.frames = q.frames[1:]
	}

	q.frames = append(q.frames, f)

	return full
}

// takeAll removes and returns all frames.
func (q *queue) takeAll() []frame {
	frames := q.frames
	q.frames = nil

	return frames
}
