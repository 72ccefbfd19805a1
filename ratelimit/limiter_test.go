package ratelimit

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/register"
)

var limited = register.Process{ID: "server", Incarnation: 7}

// announcementStore holds the newest announcement of one server.
type announcementStore struct{ newest Announcement }

func (n *announcementStore) Merge(_ register.Process, a Announcement) Announcement {
	n.newest = n.newest.Received(a)

	return n.newest
}

// limiterGroup is a group of limiters that exchange messages.
type limiterGroup struct {
	limiters      map[fleet.InstanceID]*Limiter
	announcements map[fleet.InstanceID]*announcementStore
	// unreachable instances receive no requests. received counts the requests sent to each
	// instance.
	unreachable map[fleet.InstanceID]bool
	received    map[fleet.InstanceID]int
}

// newLimiterGroup returns limiters that are all leaders, and their IDs ranked for the server.
func newLimiterGroup(ids ...fleet.InstanceID) (*limiterGroup, []fleet.InstanceID) {
	d := &limiterGroup{
		limiters: make(map[fleet.InstanceID]*Limiter), announcements: make(map[fleet.InstanceID]*announcementStore),
		unreachable: make(map[fleet.InstanceID]bool), received: make(map[fleet.InstanceID]int),
	}

	for _, id := range ids {
		d.announcements[id] = &announcementStore{}
		d.limiters[id] = &Limiter{
			Self: id, Clock: clock.System{}, Announcements: d.announcements[id], Granter: &Granter{Self: id},
			Leaders: func() []fleet.InstanceID { return ids },
			Send:    func(to fleet.InstanceID, ask PermitRequest) { d.send(to, ask) },
		}
		d.limiters[id].Granter.SetLeaders(time.Now(), ids)
	}

	return d, RankLeaders(limited, ids)
}

func (d *limiterGroup) send(to fleet.InstanceID, request PermitRequest) {
	d.received[to]++

	if !d.unreachable[to] {
		d.limiters[request.From].HandleResponse(d.limiters[to].HandleRequest(request))
	}
}

func (d *limiterGroup) acquire(t *testing.T, from fleet.InstanceID) Permit {
	t.Helper()

	return d.limiters[from].Acquire(t.Context(), limited, Announcement{Rate: 10, At: time.Now()}, 0)
}

// The leader that ranks first grants the requests of all instances, which together stay close
// to the rate of the server.
func TestFirstRankedInstanceGrantsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b", "c", "d")

		time.Sleep(2 * handoverPeriod)

		granted := 0

		for range 400 {
			for _, id := range ranked {
				if d.acquire(t, id).Granted {
					granted++
				}
			}

			time.Sleep(10 * time.Millisecond)
		}

		if least, most := 32, 44; granted < least || granted > most {
			t.Errorf("granted in 4s at 10 a second: got %d, want %d to %d", granted, least, most)
		}

		if d.received[ranked[0]] == 0 || d.received[ranked[1]]+d.received[ranked[2]]+d.received[ranked[3]] > 0 {
			t.Errorf("requests: got %v, want them at %s alone", d.received, ranked[0])
		}
	})
}

// While the leader that ranks first does not respond, the second one grants at a reduced rate,
// and no other.
func TestStandbyGrantsAtReducedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b", "c", "d")
		d.unreachable[ranked[0]] = true

		time.Sleep(2 * handoverPeriod)

		granted := 0

		for ended := time.Now().Add(8 * time.Second); time.Now().Before(ended); time.Sleep(10 * time.Millisecond) {
			if d.acquire(t, ranked[2]).Granted {
				granted++
			}
		}

		if least, most := 18, 25; granted < least || granted > most {
			t.Errorf("granted in 8s at 10 a second: got %d, want %d to %d from the standby", granted, least, most)
		}

		d.unreachable[ranked[1]] = true

		time.Sleep(handoverPeriod)

		if got := d.acquire(t, ranked[2]); got.Granted || got.Wait <= 0 || d.received[ranked[3]] > 0 {
			t.Errorf("no granter responds: got %+v and %v, want none granted, and no request to the third", got, d.received)
		}
	})
}

// A leader that ranks third grants nothing, whoever sends the permit request.
func TestLowerRankedInstancesGrantNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b", "c", "d")

		time.Sleep(2 * handoverPeriod)

		// A bucket would have tokens by the second request.
		for range 10 {
			if got := d.limiters[ranked[2]].Granter.Grant(time.Now(), limited, 10, time.Second); got.Granted || got.Wait <= 0 {
				t.Errorf("third leader: got %+v, want a refusal with a retry delay", got)
			}

			time.Sleep(time.Second)
		}
	})
}

// Guards against a granter that starts at the full rate while its predecessor may still grant.
func TestNewGranterStartsAtStandbyRate(t *testing.T) {
	const (
		rate = 10
		pace = 10 * time.Millisecond
	)

	synctest.Test(t, func(t *testing.T) {
		g := &Granter{Self: "a"}
		g.SetLeaders(time.Now(), []fleet.InstanceID{"a"})

		granted := 0

		for began := time.Now(); time.Since(began) < handoverPeriod; time.Sleep(pace) {
			if g.Grant(time.Now(), limited, rate, 0).Granted {
				granted++
			}
		}

		if most := int(standbyShare*rate*handoverPeriod.Seconds()) + 1; granted == 0 || granted > most {
			t.Errorf("granted within the handover period: got %d, want 1 to %d", granted, most)
		}
	})
}

// A new bucket is empty, since what was granted before is unknown.
func TestNewBucketIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b")

		time.Sleep(2 * handoverPeriod)

		if got := d.acquire(t, ranked[0]); got.Granted || got.Wait != 100*time.Millisecond {
			t.Errorf("first request: got %+v, want a refusal and a token in 100ms", got)
		}
	})
}

// A response may carry the announcement that the server lifted its limit.
func TestResponseLiftsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b")
		requester := ranked[1]
		d.announcements[requester].newest = Announcement{Rate: 10, At: time.Now()}

		time.Sleep(time.Second)

		d.announcements[ranked[0]].newest = Announcement{Rate: Unlimited, At: time.Now()}

		if got := d.limiters[requester].Acquire(t.Context(), limited, d.announcements[requester].newest, 0); !got.Granted {
			t.Errorf("got %+v, want it granted", got)
		}

		if got := d.announcements[requester].newest.Rate; got != Unlimited {
			t.Errorf("announcement after the response: got %v, want no limit", got)
		}
	})
}

// A request with invalid values changes no announcement and reserves no tokens far ahead.
func TestInvalidRequestChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b")
		known := Announcement{Rate: 10, At: time.Now()}
		d.announcements[ranked[0]].newest = known

		for name, request := range map[string]PermitRequest{
			"not a number":   {Rate: Rate(math.NaN())},
			"negative rate":  {Rate: -1},
			"infinite rate":  {Rate: Rate(math.Inf(1))},
			"negative age":   {Rate: 1, Age: -time.Hour},
			"unbounded wait": {Rate: 10, Age: time.Hour, Patience: math.MaxInt64},
		} {
			request.Server = limited

			for range 100 {
				if got := d.limiters[ranked[0]].HandleRequest(request); got.Wait > maxReservation+time.Second {
					t.Errorf("%s: got %+v, want a wait of %v or so at most", name, got, maxReservation)
				}
			}

			if got := d.announcements[ranked[0]].newest; got != known {
				t.Errorf("%s: got %+v, want %+v", name, got, known)
			}
		}
	})
}

// An instance that is not the only granter reserves no tokens ahead, and discards those it
// saved before the others joined: it does not know what they reserve and save.
func TestStandbyNeitherReservesNorSavesTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b", "c", "d")
		granter := d.limiters[ranked[1]].Granter
		grant := func(maxWait time.Duration) Permit { return granter.Grant(time.Now(), limited, 10, maxWait) }

		time.Sleep(2 * handoverPeriod)
		grant(0)

		if got := grant(time.Second); got.Granted {
			t.Errorf("next token: got %+v, want it not reserved", got)
		}

		time.Sleep(time.Second)

		if got := grant(0); !got.Granted {
			t.Errorf("after a second: got %+v, want it granted", got)
		}

		time.Sleep(time.Second)
		granter.SetLeaders(time.Now(), ranked[:3])

		if got := grant(0); got.Granted {
			t.Errorf("after a change of leaders: got %+v, want no saved token granted", got)
		}
	})
}

// The leader that ranks first reserves tokens ahead, in the order of the requests.
func TestFirstRankedReservesTokensInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newLimiterGroup("a", "b")
		granter := d.limiters[ranked[0]].Granter

		time.Sleep(2 * handoverPeriod)

		for i := range 4 {
			want := time.Duration(i+1) * 100 * time.Millisecond

			if got := granter.Grant(time.Now(), limited, 10, 400*time.Millisecond); !got.Granted || got.Wait != want {
				t.Errorf("request %d: got %+v, want it granted after %v", i, got, want)
			}
		}

		if got := granter.Grant(time.Now(), limited, 10, 400*time.Millisecond); got.Granted || got.Wait != 500*time.Millisecond {
			t.Errorf("one more: got %+v, want a refusal and a token after 500ms", got)
		}
	})
}

// Guards against room at a brittle server that is lost with each permit whose response comes late.
func TestLatePermitIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 2

		d, ranked := newLimiterGroup("a", "b", "c", "d")

		time.Sleep(2 * handoverPeriod)

		granter, asker := d.limiters[ranked[0]], d.limiters[ranked[3]]
		asker.SendReport = func(to fleet.InstanceID, r PermitReport) { d.limiters[to].HandleReport(r) }

		for range 10 * slots {
			asker.HandleResponse(granter.HandleRequest(PermitRequest{From: asker.Self, Number: 999, Server: limited, MaxRejections: 4, Slots: slots}))
		}

		got := asker.Acquire(t.Context(), limited, Announcement{MaxRejections: 4, Slots: slots, At: time.Now()}, 0)
		if !got.Granted {
			t.Errorf("after permits that came late: got %+v, want one granted", got)
		}
	})
}

// Guards against instances of an earlier version that can't decode permit messages during a roll-out:
// the codec rejects an array with another number of fields.
func TestPermitMessagesKeepTheirFormat(t *testing.T) {
	type request struct {
		_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
		From          fleet.InstanceID
		Number        uint64
		Server        register.Process
		Rate          Rate
		Age           time.Duration
		Patience      time.Duration
		MaxRejections int
		Rejected      bool
	}

	type response struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
		Number   uint64
		Granted  bool
		Wait     time.Duration
		Rate     Rate
		Age      time.Duration
	}

	for name, c := range map[string]struct{ from, to any }{
		"request":          {&PermitRequest{From: "a", Slots: 16}, &request{}},
		"earlier request":  {&request{From: "a"}, &PermitRequest{}},
		"response":         {&PermitResponse{Number: 1, BrittleGrant: BrittleGrant{Level: 3}}, &response{}},
		"earlier response": {&response{Number: 1}, &PermitResponse{}},
	} {
		data, err := msgpack.Marshal(c.from)
		if err != nil {
			t.Fatalf("%s: encode: got %v, want none", name, err)
		}

		if err := msgpack.Unmarshal(data, c.to); err != nil {
			t.Errorf("%s: decode: got %v, want none", name, err)
		}
	}
}
