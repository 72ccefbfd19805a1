package forward

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
	"monsoonlever/scheduling"
)

// newLostPathsFixture returns a fixture in which llm-1 to llm-6 have ended and this instance knows so,
// and the next requests reach llm-7 and crash it.
func newLostPathsFixture(t *testing.T) *crashFixture {
	t.Helper()

	f := newCrashFixture(t)

	for _, id := range []string{"llm-1", "llm-2", "llm-3", "llm-4", "llm-5", "llm-6"} {
		f.crashed[id].Store(true)
		f.losePath(id)
	}

	return f
}

// servers returns the entries of the engines.
func (f *crashFixture) servers() []register.Server {
	var servers []register.Server

	for id := range f.crashed {
		servers = append(servers, register.Server{ID: fleet.InstanceID(id), Service: "llm", Address: id, Domain: "a", Slots: 8})
	}

	return servers
}

// losePath records that a connection to a server was refused.
func (f *crashFixture) losePath(id string) {
	f.Scheduler.RecordPath(f.clock.Now(), fleet.InstanceID(id), id, false, true)
}

// checkEnds advances the clock over all checks of a server that refuses connections, while the other
// servers stay lost.
func (f *crashFixture) checkEnds(meanwhile func()) {
	f.t.Helper()

	for range int(endCheckTimeout / endCheckInterval) {
		// What comes meanwhile is later than the loss.
		f.clock.Advance(time.Millisecond)
		meanwhile()

		for id, crashed := range f.crashed {
			if crashed.Load() {
				f.losePath(id)
			}
		}

		f.runTerminationChecks()
	}
}

// Guards against crashes that are taken for lost paths because other servers have ended as well, and
// against lost paths that are taken for crashes.
func TestEndIsToldFromLostPathsBesideOthers(t *testing.T) {
	for name, c := range map[string]struct {
		// crashed are further servers that have ended, or whose paths are lost.
		crashed   []string
		meanwhile func(f *crashFixture)
		// inFlight has events of another stream of the server, and reports of other instances on it, arrive
		// for a moment after the loss.
		inFlight bool
		want     int
	}{
		"another server of the service is reached": {want: 1},
		"events were in flight":                    {inFlight: true, want: 1},
		"no server of the service is reached":      {crashed: []string{"llm-8"}},
		"another process has the address": {crashed: []string{"llm-8"}, want: 1, meanwhile: func(f *crashFixture) {
			f.Scheduler.Update(append(f.servers(), register.Server{ID: "llm-9", Service: "llm", Address: "llm-7", Domain: "a", Slots: 8}))
		}},
		"another instance hears from the server": {meanwhile: func(f *crashFixture) {
			f.Scheduler.ApplyUpdate(f.clock.Now(), "other", scheduling.Peer, scheduling.ServerUpdate{Loads: []scheduling.ServerLoad{
				{Server: scheduling.Key(xxhash.Sum64String("llm-7")), Requests: 1},
			}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLostPathsFixture(t)

			for _, id := range append(c.crashed, "llm-8") {
				f.losePath(id)
			}

			for _, id := range c.crashed {
				f.crashed[id].Store(true)
			}

			other := f.pickServer("llm", "llm-7")
			other.Start(f.clock.Now())
			f.call("tell", "r")

			if c.inFlight {
				f.clock.Advance(time.Millisecond)
				other.Heard(f.clock.Now())
				f.Scheduler.ApplyUpdate(f.clock.Now(), "other", scheduling.Peer, scheduling.ServerUpdate{Loads: []scheduling.ServerLoad{
					{Server: scheduling.Key(xxhash.Sum64String("llm-7"))},
				}})
			}

			if got := f.arrivals(); len(got) != 1 {
				t.Fatalf("arrivals: got %d, want one", len(got))
			}

			if len(c.crashed) == 0 {
				f.Scheduler.RecordPath(f.clock.Now(), "llm-8", "llm-8", true, false)
			}

			f.checkEnds(func() {
				if c.meanwhile != nil {
					c.meanwhile(f)
				}
			})

			if got := len(f.Quarantine.StoredLosses(f.clock.Now())); got != c.want {
				t.Errorf("losses: got %d, want %d", got, c.want)
			}
		})
	}
}
