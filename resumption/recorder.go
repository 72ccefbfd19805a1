package resumption

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/feed"
)

const (
	// recordInterval is the minimum time between two appends while servers of several versions serve,
	// and relaxedRecordInterval that while they don't. The streams that began since the last append
	// are lost with all instances, and each append has a price.
	recordInterval        = 200 * time.Millisecond
	relaxedRecordInterval = time.Second
	// recordTimeout bounds a call of the log, which takes a few milliseconds.
	recordTimeout = time.Second
	// maxBatch bounds the records of one append, to some 40 KB, and maxUnrecorded those that wait
	// while the log can't be written. The oldest are dropped.
	maxBatch      = 1024
	maxUnrecorded = 8192
	// maxRestoredBatches bounds the appends that are read at a start: those of a minute.
	maxRestoredBatches = 300
	// restoreRetryInterval is the pause after a failed read.
	restoreRetryInterval = 100 * time.Millisecond
)

// Log is a topic of the platform's log.
type Log interface {
	// Append appends one record.
	Append(ctx context.Context, data []byte) error
	// Changes reads records from a position on.
	Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error)
	// First returns the oldest position that is retained.
	First(ctx context.Context) (feed.Position, error)
}

// Recorder writes records of streams to a log, from which a Tracker restores them after a loss of all
// instances. One instance records for all. Its exported fields are set before Run.
type Recorder struct {
	Clock clock.Clock
	Log   Log
	// SeveralVersions reports whether servers of several versions serve, or did while streams that
	// callers may resume began; nil means always.
	SeveralVersions func() bool

	mu     sync.Mutex
	queue  []Record
	queued map[recordKey]struct{}
	wake   feed.Signal
	// dropped counts the records that found no room in the queue.
	dropped int
	// unavailable is set while the log can't be written.
	unavailable bool
}

// recordKey identifies a record.
type recordKey struct {
	stream Stream
	origin Origin
}

func keyOf(r Record) recordKey {
	return recordKey{stream: Stream{Content: r.Content, Attempt: r.Attempt}, origin: Origin{Service: r.Service, Version: r.Version}}
}

// Add queues records to be written. Those that are queued already are not added again.
func (r *Recorder) Add(records []Record) {
	r.mu.Lock()

	if r.queued == nil {
		r.queued = make(map[recordKey]struct{})
	}

	for _, record := range records {
		if _, known := r.queued[keyOf(record)]; known {
			continue
		}

		r.queued[keyOf(record)] = struct{}{}
		r.queue = append(r.queue, record)
	}

	r.dropped += len(r.dequeue(max(len(r.queue)-maxUnrecorded, 0)))
	r.mu.Unlock()
	r.wake.Send()
}

// Run writes queued records until ctx ends, and then those that are left.
func (r *Recorder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-r.wake.C():
		case <-ctx.Done():
		}

		if r.write(context.WithoutCancel(ctx)) {
			r.wake.Send()
		}

		clock.Sleep(ctx, r.Clock, r.interval())
	}
}

func (r *Recorder) interval() time.Duration {
	if r.SeveralVersions == nil || r.SeveralVersions() {
		return recordInterval
	}

	return relaxedRecordInterval
}

// write appends the next records and reports whether some are left. What could not be appended waits
// again.
func (r *Recorder) write(ctx context.Context) bool {
	batch := r.take()
	if len(batch) == 0 {
		return false
	}

	data, err := msgpack.Marshal(batch)
	if err != nil {
		klog.ErrorS(err, "records of streams could not be encoded", "records", len(batch))

		return r.waiting() > 0
	}

	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()

	err = r.Log.Append(call, data)
	if err != nil {
		r.Add(batch)
	}

	r.logAvailability(err)

	return r.waiting() > 0
}

// take takes the next records out of the queue.
func (r *Recorder) take() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.dequeue(min(len(r.queue), maxBatch))
}

// dequeue takes the oldest records out of the queue. r.mu is held.
func (r *Recorder) dequeue(n int) []Record {
	oldest := r.queue[:n]
	for _, record := range oldest {
		delete(r.queued, keyOf(record))
	}

	r.queue = r.queue[n:]

	return oldest
}

func (r *Recorder) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.queue)
}

func (r *Recorder) logAvailability(err error) {
	if (err != nil) == r.unavailable {
		return
	}

	r.mu.Lock()
	waiting, dropped := len(r.queue), r.dropped
	r.mu.Unlock()

	r.unavailable = err != nil
	if r.unavailable {
		klog.InfoS("dependency lost", "dependency", "log of streams", "waiting", waiting, "err", err.Error())
	} else {
		klog.InfoS("dependency regained", "dependency", "log of streams", "waiting", waiting, "droppedInAll", dropped)
	}
}

// Restore reads the records that the log retains into a tracker, and tries again until that succeeds or
// ctx ends.
func (r *Recorder) Restore(ctx context.Context, t *Tracker) {
	for failed := false; ctx.Err() == nil; clock.Sleep(ctx, r.Clock, restoreRetryInterval) {
		records, err := r.read(ctx, t)
		if err == nil {
			klog.InfoS("records of streams were read", "records", records)
			t.markRestored()

			return
		}

		if !failed {
			klog.InfoS("records of streams can't be read yet", "err", err.Error())
		}

		failed = true
	}
}

// read reads the newest appends of the log and returns the number of their records.
func (r *Recorder) read(ctx context.Context, t *Tracker) (int, error) {
	from, err := r.first(ctx)
	if err != nil {
		return 0, err
	}

	for records := 0; ; {
		changes, err := r.changes(ctx, from)
		if err != nil {
			return records, err
		}

		if skipped := int64(changes.End.Offset()) - int64(from.Offset()) - maxRestoredBatches; skipped > 0 { //nolint:gosec // offsets count appends
			from = feed.PositionOf(from.Era(), from.Offset()+uint64(skipped))

			continue
		}

		for _, e := range changes.Entries {
			records += t.restoreBatch(e)
		}

		if changes.Next >= changes.End {
			return records, nil
		}

		from = changes.Next
	}
}

func (r *Recorder) first(ctx context.Context) (feed.Position, error) {
	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()

	return r.Log.First(call)
}

func (r *Recorder) changes(ctx context.Context, from feed.Position) (feed.Changes, error) {
	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()

	return r.Log.Changes(call, from, 0)
}

// restoreBatch adds the records of one entry of the log and returns their number.
func (t *Tracker) restoreBatch(e feed.Entry) int {
	var batch []Record
	if err := codec.Unmarshal(e.Data, &batch); err != nil {
		klog.ErrorS(err, "records of streams could not be decoded", "offset", e.At, "bytes", len(e.Data))

		return 0
	}

	t.receive(batch, func(Record) {})

	return len(batch)
}
