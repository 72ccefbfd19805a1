package publication

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

const (
	pollWait      = 20 * time.Second
	checkInterval = 10 * time.Second
	// DefaultRetention is taken for the log's retention while no manifest in
	// force says more.
	DefaultRetention = 24 * time.Hour
)

// Follower keeps one instance at the manifest in force. Its fields are set
// before Run. It goes on with the last manifest while the log is down.
type Follower struct {
	Log    provider.Log
	Stream provider.Stream
	Clock  clock.Clock
	// Random spreads retries and checkpoints; Run alone uses it.
	Random *rand.Rand
	// OnChange, if set, is called with each new snapshot, one at a time. It must
	// return soon and must not call Adopt.
	OnChange func(*Snapshot)

	view atomic.Pointer[view]

	mu       sync.Mutex
	reader   *reader
	schedule *schedule
	exposed  bool
	looked   bool
	down     bool
	// width is how many of the newest records to begin with, tailRecords if 0.
	width provider.Offset
}

// Snapshot returns the manifest in force, nil as long as there is none or none
// is known. It takes no lock.
func (f *Follower) Snapshot() *Snapshot {
	v := f.view.Load()
	if v == nil || v.snapshot.manifest == nil {
		return nil
	}

	return v.snapshot
}

// Version returns the version that the follower has in force, 0 for none.
func (f *Follower) Version() provider.Offset {
	v := f.view.Load()
	if v == nil {
		return 0
	}

	return v.snapshot.version
}

// Checkpoint returns what a peer that starts without the log may adopt. Its bytes
// are shared and must not be changed.
func (f *Follower) Checkpoint() (Checkpoint, bool) {
	v := f.view.Load()
	if v == nil || !v.known {
		return Checkpoint{}, false
	}

	return v.checkpoint, true
}

// Adopt takes a peer's checkpoint if it is newer than what the follower has.
func (f *Follower) Adopt(c Checkpoint) Result {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.init()

	result := f.reader.adopt(c)
	countOutcome(result.Outcome())

	if result.Outcome() == Restored {
		f.expose()
	}

	return result
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup

	wg.Go(func() { f.follow(ctx) })
	wg.Go(func() { f.writeCheckpoints(ctx) })
	wg.Wait()
}

func (f *Follower) follow(ctx context.Context) {
	wait := backoff{random: f.Random}

	for ctx.Err() == nil {
		err := f.step(ctx, pollWait)
		if err == nil {
			wait.reset()
			f.reportLog(nil)

			continue
		}

		if ctx.Err() != nil {
			return
		}

		readErrors.Inc()
		f.reportLog(err)
		clock.Sleep(ctx, f.Clock, wait.next())
	}
}

func (f *Follower) writeCheckpoints(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, f.Clock, checkInterval)

		if err := f.checkpoint(ctx); err != nil {
			checkpointErrors.Inc()
		}
	}
}

// step makes one read and applies it.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	f.init()
	q := f.reader.next()
	looked := f.looked
	f.mu.Unlock()

	// The first look must not wait: an empty stream would seem unreadable.
	if q.locate || !looked {
		wait = 0
	}

	b, err := f.Log.Read(ctx, f.Stream, q.from, q.limit, wait)
	if err != nil {
		return merry.Prepend(err, "read manifest stream")
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.looked = f.looked || !q.locate
	results, atEnd := f.reader.apply(q, b)
	for _, r := range results {
		f.observe(r)
	}

	// Older versions on the way to the end would be a step back for an instance
	// that was restarted.
	if f.exposed || atEnd && f.reader.state.Known() {
		f.expose()
	}

	return nil
}

// checkpoint writes one if it is due.
func (f *Follower) checkpoint(ctx context.Context) error {
	f.mu.Lock()
	f.init()
	c, known := f.reader.state.Checkpoint()
	due := known && f.exposed && f.schedule.isDue(f.Clock.Now())
	f.mu.Unlock()

	if !due {
		return nil
	}

	data, err := Encode(c)
	if err != nil {
		return err
	}

	if _, err := f.Log.Append(ctx, f.Stream, data); err != nil {
		return merry.Prepend(err, "append manifest checkpoint")
	}

	checkpointsTotal.Inc()

	return nil
}

func (f *Follower) init() {
	if f.reader != nil {
		return
	}

	if f.width == 0 {
		f.width = tailRecords
	}

	f.reader = newReader(f.width)
	// The schedule is used under the lock, Random by the reading goroutine.
	own := rand.New(rand.NewPCG(f.Random.Uint64(), f.Random.Uint64()))
	f.schedule = &schedule{random: own, retention: DefaultRetention}
	// Where the log shows no checkpoint soon, this node writes one.
	f.schedule.reset(f.Clock.Now().Add(-DefaultRetention / 2))
}

func (f *Follower) observe(r Result) {
	countOutcome(r.Outcome())

	switch r.Outcome() {
	case Confirmed, Restored:
		f.schedule.reset(r.Time())
	case Repeated:
	default:
		f.schedule.count(f.Clock.Now())
	}

	if r.Outcome() == Applied && f.exposed {
		applyDelay.Update(f.Clock.Now().Sub(r.Time()).Seconds())
	}
}

func (f *Follower) retention() time.Duration {
	m := f.reader.state.Snapshot().Manifest()
	if m == nil {
		return DefaultRetention
	}

	return m.LogRetention()
}

// expose replaces the view if the state has a greater version or has read on.
func (f *Follower) expose() {
	state := f.reader.state
	old := f.view.Load()
	checkpoint, known := state.Checkpoint()

	f.exposed = true
	f.view.Store(&view{snapshot: state.Snapshot(), checkpoint: checkpoint, known: known})
	f.reportKnown(old, known)

	if old != nil && old.snapshot.version == state.Version() {
		return
	}

	f.schedule.keep(f.retention(), f.Clock.Now())
	versionGauge.Set(float64(state.Version()))

	if state.Version() == 0 {
		return
	}

	klog.InfoS("manifest in force", "version", state.Version(), "id", state.Snapshot().ID(), "operator", state.Snapshot().Operator())

	if f.OnChange != nil && state.Snapshot().Manifest() != nil {
		f.OnChange(state.Snapshot())
	}
}

func (f *Follower) reportKnown(old *view, known bool) {
	if old != nil && old.known == known {
		return
	}

	if known {
		knownGauge.Set(1)

		return
	}

	knownGauge.Set(0)
	klog.InfoS("manifest records were missed, waiting for a checkpoint", "version", f.reader.state.Version())
}

func (f *Follower) reportLog(err error) {
	if f.down == (err != nil) {
		return
	}

	f.down = err != nil
	if f.down {
		klog.InfoS("manifest stream cannot be read", "err", err)

		return
	}

	klog.InfoS("manifest stream can be read again")
}
