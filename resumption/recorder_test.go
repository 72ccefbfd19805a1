package resumption

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/topology"
)

var errAway = errors.New("log is away")

// memoryLog is a log that outlives the instances.
type memoryLog struct {
	mu      sync.Mutex
	entries []feed.Entry
	away    atomic.Bool
	appends int
}

func (l *memoryLog) Append(_ context.Context, data []byte) error {
	if l.away.Load() {
		return errAway
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++
	l.entries = append(l.entries, feed.Entry{Data: data, At: feed.PositionOf(1, uint64(len(l.entries)))})

	return nil
}

func (l *memoryLog) appended() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.appends
}

func (l *memoryLog) Changes(_ context.Context, from feed.Position, _ time.Duration) (feed.Changes, error) {
	if l.away.Load() {
		return feed.Changes{}, errAway
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	end := feed.PositionOf(1, uint64(len(l.entries)))

	return feed.Changes{Entries: l.entries[from.Offset():], Next: end, End: end}, nil
}

func (l *memoryLog) First(context.Context) (feed.Position, error) {
	if l.away.Load() {
		return 0, errAway
	}

	return feed.PositionOf(1, 0), nil
}

// instanceLog is the log as one process reaches it, until the process is killed.
type instanceLog struct {
	*memoryLog

	killed *atomic.Bool
}

func (l instanceLog) Append(ctx context.Context, data []byte) error {
	if l.killed.Load() {
		return errAway
	}

	return l.memoryLog.Append(ctx, data)
}

// recordedNetwork is a network whose first instance records the streams of all.
type recordedNetwork struct {
	*network

	log    *memoryLog
	killed *atomic.Bool
}

// restart kills all processes and starts new ones, which restore what the log has.
func (n *recordedNetwork) restart(ctx context.Context) {
	if n.killed != nil {
		n.killed.Store(true)
	}

	n.killed = &atomic.Bool{}

	n.setup = func(t *Tracker) {
		t.Clock = clock.System{}
		t.Recorder = &Recorder{Clock: clock.System{}, Log: instanceLog{memoryLog: n.log, killed: n.killed}}
		t.RecorderID = func() fleet.InstanceID { return n.members[0].ID }
		t.Restores = func() bool { return true }
		t.Forward = func(to fleet.InstanceID, records []Record) {
			n.deliver(t.Self, to, &n.records, func(other *Tracker) { other.Recorder.Add(records) })
		}
	}

	for _, m := range n.members {
		n.start(ctx, m.ID)

		t := n.trackers[m.ID]

		go t.Recorder.Run(ctx)
		go t.Recorder.Restore(ctx, t)
	}
}

func newRecordedNetwork(ctx context.Context, instances, holders int, lost float64) *recordedNetwork {
	n := &recordedNetwork{network: newNetwork(ctx, 0, 0, lost, uint64(instances)), log: &memoryLog{}}

	for i := range instances {
		n.members = append(n.members, topology.Member{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Domain: fleet.FailureDomain(fmt.Sprint("d", i%failureDomains))})
	}

	n.setHolders(n.members[:holders])
	n.restart(ctx)

	return n
}

// Guards against streams that nobody can join after a loss of all instances.
func TestOriginSurvivesLossOfAllInstances(t *testing.T) {
	const streams = 300

	for _, size := range []struct{ instances, holders int }{{1, 1}, {3, 3}, {9, 9}, {72, 12}, {195, 12}, {986, 50}} {
		t.Run(fmt.Sprint(size.instances, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()

				n := newRecordedNetwork(ctx, size.instances, size.holders, 0.02)

				for i := range streams {
					n.trackers[n.members[i%size.instances].ID].Begun(stream(i), origin(i), time.Minute)
				}

				time.Sleep(2 * recordInterval)
				n.restart(ctx)

				n.checkOrigins(ctx, t, streams)
				stop()
				synctest.Wait()
			})
		})
	}
}

// Checks that a caller that returns while records are still to be read waits for them, and is refused
// after a bounded time.
func TestOriginWaitsForRecordsOfLog(t *testing.T) {
	for name, c := range map[string]struct {
		backAfter time.Duration
		want      error
	}{
		"soon":     {backAfter: restoreTimeout / 2},
		"too late": {backAfter: 2 * restoreTimeout, want: ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()

				n := newRecordedNetwork(ctx, 9, 9, 0)
				n.trackers[n.members[0].ID].Begun(stream(1), origin(1), time.Minute)
				time.Sleep(2 * recordInterval)

				n.log.away.Store(true)
				n.restart(ctx)
				time.AfterFunc(c.backAfter, func() { n.log.away.Store(false) })

				began := time.Now()
				got, err := n.trackers[n.members[1].ID].Origin(ctx, stream(1))

				if !errors.Is(err, c.want) || c.want == nil && got != origin(1) {
					t.Errorf("got %v, %v, want %v, %v", got, err, origin(1), c.want)
				}

				if took := time.Since(began); took > restoreTimeout+2*maxQueries*queryTimeout+restorePollInterval {
					t.Errorf("got a reply after %v, want one within %v", took, restoreTimeout)
				}

				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against an append for each stream, and against records without a bound while the log is away.
func TestRecorderWritesBoundedBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()

		log := &memoryLog{}
		r := &Recorder{Clock: clock.System{}, Log: log}

		go r.Run(ctx)

		const seconds = 4

		for i := range 100 * seconds {
			r.Add([]Record{{Content: quarantine.Fingerprint(i), Service: "llm", Version: "v1", LifetimeMs: 1000}})
			time.Sleep(10 * time.Millisecond)
		}

		if got, want := log.appended(), seconds*int(time.Second/recordInterval)+1; got > want {
			t.Errorf("appends in %d s: got %d, want at most %d", seconds, got, want)
		}

		log.away.Store(true)

		for i := range 2 * maxUnrecorded {
			r.Add([]Record{{Content: quarantine.Fingerprint(1<<32 + i), Service: "llm", Version: "v1", LifetimeMs: 1000}})
		}

		r.mu.Lock()
		indexed := len(r.queued)
		r.mu.Unlock()

		if got := r.waiting(); got > maxUnrecorded || indexed > maxUnrecorded {
			t.Errorf("records that wait: got %d, want at most %d", got, maxUnrecorded)
		}

		log.away.Store(false)
		time.Sleep(2 * recordInterval * maxUnrecorded / maxBatch)

		if got := r.waiting(); got != 0 {
			t.Errorf("records that wait once the log is back: got %d, want none", got)
		}

		stop()
		synctest.Wait()
	})
}

// Checks that appends, which have a price, are rarer while all servers have one version.
func TestRecorderWritesSeldomWhileOneVersionServes(t *testing.T) {
	for several, want := range map[bool]time.Duration{true: recordInterval, false: relaxedRecordInterval} {
		r := &Recorder{SeveralVersions: func() bool { return several }}
		if got := r.interval(); got != want {
			t.Errorf("several versions %t: got an append each %v, want each %v", several, got, want)
		}
	}
}

// Guards against records that are lost with a failed append, and against a start that reads all that a
// log retains.
func TestRecorderLosesNoRecordAndReadsNewest(t *testing.T) {
	log := &memoryLog{}
	log.away.Store(true)

	r := &Recorder{Clock: clock.System{}, Log: log}
	record := func(i int) Record {
		return Record{Content: quarantine.Fingerprint(i), Attempt: 1, Service: "llm", Version: "v1", LifetimeMs: 60_000}
	}

	for i := range maxUnrecorded {
		r.Add([]Record{record(i)})
	}

	r.write(t.Context())

	if got, want := r.waiting(), maxUnrecorded; got != want {
		t.Errorf("records that wait after a failed append: got %d, want %d", got, want)
	}

	log.away.Store(false)

	for r.write(t.Context()) {
	}

	tracker := &Tracker{Clock: clock.System{}, Self: "a"}

	if got, err := r.read(t.Context(), tracker); err != nil || got != maxUnrecorded {
		t.Errorf("records that were written: got %d, %v, want %d", got, err, maxUnrecorded)
	}

	for i := range 2 * maxRestoredBatches {
		r.Add([]Record{record(maxUnrecorded + i)})
		r.write(t.Context())
	}

	if got, err := r.read(t.Context(), tracker); err != nil || got != maxRestoredBatches {
		t.Errorf("records of a long log: got %d, %v, want those of the newest %d appends", got, err, maxRestoredBatches)
	}
}
