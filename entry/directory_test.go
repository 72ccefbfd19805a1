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
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// directoryWrites returns parts whose store refuses each write, and the offsets that writes name.
func directoryWrites(t *testing.T) (*parts, *[]string) {
	t.Helper()

	var at []string

	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at = append(at, r.URL.Query().Get("at"))

		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusPreconditionFailed)
	}))
	t.Cleanup(store.Close)

	e := &Entry{Clock: clock.NewSteady(), Settings: settings.Entry{
		Instance: "entry-1", FailureDomain: "a", Store: store.Listener.Addr().String(),
		Listen: settings.EntryListen{Peers: "127.0.0.1:7600"}, Limits: settings.Machine{ProcessorCores: 1},
		Bounds: settings.Bounds{
			Lease: time.Second, UsageWindow: time.Second, UsageLate: time.Second, RetryWindow: time.Second,
			LimitWindow: time.Second, Drain: time.Second, Stop: time.Second,
		},
	}}

	return e.build(), &at
}

// A directory that was received but is not in force yet must not be overwritten.
func TestADirectoryIsWrittenAfterTheOneItFollowsAlone(t *testing.T) {
	p, at := directoryWrites(t)
	received := feed.Entry{Key: "relays", Data: []byte("of another instance"), At: feed.PositionOf(1, 0)}

	p.directoryLog.Replace(nil, feed.PositionOf(1, 0))
	p.applyDirectory(nil, true)
	p.directoryLog.Append([]feed.Entry{received}, feed.PositionOf(1, 1))
	p.claimDirectory(t.Context(), nil, *p.unclaimed.Load())

	data, err := (&directory.Directory{Relays: []topology.Member{p.links.Self}, Count: 1, Forming: true}).Marshal()
	if err != nil {
		t.Fatal(err)
	}

	p.applyDirectory([]feed.Entry{{Key: "relays", Data: data, At: feed.PositionOf(1, 0)}}, false)

	view := *p.directory.Load()
	view.at = view.at.Add(-2 * formingLimit)

	p.directoryLog.Append([]feed.Entry{received}, feed.PositionOf(1, 2))
	p.updateDirectory(t.Context(), &view)

	if want := []string{"0", "1"}; !slices.Equal(*at, want) {
		t.Errorf("a claim after nothing and an update of the record that ends at 1: got written at %v, want at %v", *at, want)
	}
}
