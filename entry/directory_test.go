package entry

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// newComponentsRefusingWrites returns components whose store refuses each write, and the offsets
// that the writes are conditional on.
func newComponentsRefusingWrites(t *testing.T) (*components, *[]string) {
	t.Helper()

	var offsets []string

	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offsets = append(offsets, r.URL.Query().Get("at"))

		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusPreconditionFailed)
	}))
	t.Cleanup(store.Close)

	e := &Entry{Clock: clock.NewSteady(), Settings: settings.Entry{
		Instance: "entry-1", FailureDomain: "a", Store: store.Listener.Addr().String(),
		Listen: settings.EntryListen{Peers: "127.0.0.1:7600"}, Limits: settings.MachineLimits{ProcessorCores: 1},
		Bounds: settings.Bounds{
			Lease: time.Second, UsageWindow: time.Second, UsageLate: time.Second, RetryWindow: time.Second,
			LimitWindow: time.Second, Drain: time.Second, Stop: time.Second,
		},
	}}

	return e.build(), &offsets
}

// A directory that was received but is not in force yet must not be overwritten: a write is
// conditional on the end of the log that the view in force was read from.
func TestDirectoryWriteRequiresUnchangedLog(t *testing.T) {
	p, offsets := newComponentsRefusingWrites(t)
	received := feed.Entry{Key: "relays", Data: []byte("of another instance"), At: feed.PositionOf(1, 0)}

	p.directoryLog.Replace(nil, feed.PositionOf(1, 0))
	p.applyDirectory(nil, true)
	p.directoryLog.Append([]feed.Entry{received}, feed.PositionOf(1, 1))
	p.claimDirectory(t.Context(), nil, *p.emptyDirectoryEnd.Load())

	data, err := (&directory.Directory{Relays: []topology.Member{p.links.Self}, Count: 1, Forming: true}).Marshal()
	if err != nil {
		t.Fatal(err)
	}

	p.applyDirectory([]feed.Entry{{Key: "relays", Data: data, At: feed.PositionOf(1, 0)}}, false)

	view := *p.directory.Load()
	view.at = view.at.Add(-2 * maxFormingDuration)

	p.directoryLog.Append([]feed.Entry{received}, feed.PositionOf(1, 2))
	p.updateDirectory(t.Context(), &view)

	if want := []string{"0", "1"}; !slices.Equal(*offsets, want) {
		t.Errorf("offsets of a claim of the empty log and of an update of the record that ends at 1: got %v, want %v", *offsets, want)
	}
}

// viewOf returns a directory that is in force at a time, of instances of which some are relays.
func viewOf(p *components, now time.Time, instances int, end uint64) *directoryView {
	d := &directory.Directory{Count: instances}

	if instances > topology.FullMeshMax {
		d.Relays = []topology.Member{p.links.Self}
		for _, id := range []string{"entry-2", "entry-3", "entry-4"} {
			d.Relays = append(d.Relays, topology.Member{ID: fleet.InstanceID(id), Domain: "b"})
		}
	}

	return newDirectoryView(d, now, feed.PositionOf(1, end))
}

// Guards against a directory that counts only a leader's own group right after a full mesh has grown
// into a fleet with relays: it makes a full mesh again, and all instances change sides each time.
func TestDirectoryDoesNotShrinkBeforeRelaysReport(t *testing.T) {
	const (
		instances     = 16
		reportTimeout = 6 * time.Second
	)

	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	p := newLargeComponents(clk, 1, 0)
	p.links.Self = topology.Member{ID: "entry-1", Domain: "a"}

	for _, view := range []*directoryView{
		viewOf(p, clk.Now(), instances, 1), viewOf(p, clk.Now(), topology.FullMeshMax, 2), viewOf(p, clk.Now(), instances, 3),
	} {
		next, _ := p.nextDirectory(clk.Now(), view)
		if next.Count < view.Count {
			t.Errorf("directory after one of %d instances: got %d instances, want no fewer before the relays have reported", view.Count, next.Count)
		}

		clk.Advance(reportTimeout + time.Second)
	}
}

// Guards against a directory that is written at once because the one before it was outdated.
func TestOutdatedTimeBeginsWithEachDirectory(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	p := newLargeComponents(clk, 1, 0)
	before, after := viewOf(p, clk.Now(), 16, 1), viewOf(p, clk.Now(), 16, 2)

	p.outdatedFor(clk.Now(), before, true)
	clk.Advance(directorySettleDelay)

	if got, want := p.outdatedFor(clk.Now(), before, true), directorySettleDelay; got != want {
		t.Errorf("the same directory: got outdated for %v, want %v", got, want)
	}

	if got, want := p.outdatedFor(clk.Now(), after, true), time.Duration(0); got != want {
		t.Errorf("the next directory: got outdated for %v, want %v", got, want)
	}
}
