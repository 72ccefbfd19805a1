package ratelimit

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/register"
)

var limited = register.Process{ID: "server", Incarnation: 7}

// notes are what an instance knows of one server.
type notes struct{ newest Announcement }

func (n *notes) Merge(_ register.Process, a Announcement) Announcement {
	n.newest = n.newest.Received(a)

	return n.newest
}

// desks are askers that reach each other.
type desks struct {
	askers map[fleet.InstanceID]*Limiter
	known  map[fleet.InstanceID]*notes
	// away don't get questions, and asked counts those that came to each.
	away  map[fleet.InstanceID]bool
	asked map[fleet.InstanceID]int
}

// newDesks returns askers of which all lead, and their names in the order for the server.
func newDesks(ids ...fleet.InstanceID) (*desks, []fleet.InstanceID) {
	d := &desks{
		askers: make(map[fleet.InstanceID]*Limiter), known: make(map[fleet.InstanceID]*notes),
		away: make(map[fleet.InstanceID]bool), asked: make(map[fleet.InstanceID]int),
	}

	for _, id := range ids {
		d.known[id] = &notes{}
		d.askers[id] = &Limiter{
			Self: id, Clock: clock.System{}, Announcements: d.known[id], Granter: &Granter{Self: id},
			Leaders: func() []fleet.InstanceID { return ids },
			Send:    func(to fleet.InstanceID, ask PermitRequest) { d.send(to, ask) },
		}
		d.askers[id].Granter.SetLeaders(time.Now(), ids)
	}

	return d, RankLeaders(limited, ids)
}

func (d *desks) send(to fleet.InstanceID, ask PermitRequest) {
	d.asked[to]++

	if !d.away[to] {
		d.askers[ask.From].HandleResponse(d.askers[to].HandleRequest(ask))
	}
}

func (d *desks) ask(t *testing.T, from fleet.InstanceID) Permit {
	t.Helper()

	return d.askers[from].Acquire(t.Context(), limited, Announcement{Rate: 10, At: time.Now()}, 0)
}

// One instance grants the requests of all: together they get what the server takes.
func TestOneInstanceGrantsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b", "c", "d")

		time.Sleep(2 * settleSpan)

		granted := 0

		for range 400 {
			for _, id := range ranked {
				if d.ask(t, id).Granted {
					granted++
				}
			}

			time.Sleep(10 * time.Millisecond)
		}

		if least, most := 32, 44; granted < least || granted > most {
			t.Errorf("granted in 4s at 10 a second: got %d, want %d to %d", granted, least, most)
		}

		if d.asked[ranked[0]] == 0 || d.asked[ranked[1]]+d.asked[ranked[2]]+d.asked[ranked[3]] > 0 {
			t.Errorf("questions: got %v, want them at %s alone", d.asked, ranked[0])
		}
	})
}

// Where the first in order does not reply the second grants, at a lower rate, and nobody
// else.
func TestAStandInGrantsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b", "c", "d")
		d.away[ranked[0]] = true

		time.Sleep(2 * settleSpan)

		granted := 0

		for ended := time.Now().Add(8 * time.Second); time.Now().Before(ended); time.Sleep(10 * time.Millisecond) {
			if d.ask(t, ranked[2]).Granted {
				granted++
			}
		}

		if least, most := 18, 25; granted < least || granted > most {
			t.Errorf("granted in 8s at 10 a second: got %d, want %d to %d of a stand-in", granted, least, most)
		}

		d.away[ranked[1]] = true

		time.Sleep(settleSpan)

		if got := d.ask(t, ranked[2]); got.Granted || got.Wait <= 0 || d.asked[ranked[3]] > 0 {
			t.Errorf("nobody replies: got %+v and %v, want none granted, and the third not asked", got, d.asked)
		}
	})
}

// One that is neither the first nor the second in order grants nothing, whoever asks it.
func TestOthersGrantNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b", "c", "d")

		time.Sleep(2 * settleSpan)

		// A bucket would have tokens by the second question.
		for range 10 {
			if got := d.askers[ranked[2]].Granter.Grant(time.Now(), limited, 10, time.Second); got.Granted || got.Wait <= 0 {
				t.Errorf("the third: got %+v, want a refusal with when to ask again", got)
			}

			time.Sleep(time.Second)
		}
	})
}

// Guards against a granter that begins with the whole rate while the one before it may still
// grant.
func TestOneThatBeginsGrantsNoMoreThanAStandIn(t *testing.T) {
	const (
		rate = 10
		pace = 10 * time.Millisecond
	)

	synctest.Test(t, func(t *testing.T) {
		g := &Granter{Self: "a"}
		g.SetLeaders(time.Now(), []fleet.InstanceID{"a"})

		granted := 0

		for began := time.Now(); time.Since(began) < settleSpan; time.Sleep(pace) {
			if g.Grant(time.Now(), limited, rate, 0).Granted {
				granted++
			}
		}

		if most := int(standInShare*rate*settleSpan.Seconds()) + 1; granted == 0 || granted > most {
			t.Errorf("granted while it settles: got %d, want 1 to %d", granted, most)
		}
	})
}

// What was granted before a bucket was made is not known: it begins empty.
func TestABucketBeginsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b")

		time.Sleep(2 * settleSpan)

		if got := d.ask(t, ranked[0]); got.Granted || got.Wait != 100*time.Millisecond {
			t.Errorf("first question: got %+v, want a refusal and room in 100ms", got)
		}
	})
}

// One that asks learns from the reply that the server takes all again.
func TestAReplyLiftsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b")
		asks := ranked[1]
		d.known[asks].newest = Announcement{Rate: 10, At: time.Now()}

		time.Sleep(time.Second)

		d.known[ranked[0]].newest = Announcement{Rate: Unlimited, At: time.Now()}

		if got := d.askers[asks].Acquire(t.Context(), limited, d.known[asks].newest, 0); !got.Granted {
			t.Errorf("got %+v, want it granted", got)
		}

		if got := d.known[asks].newest.Rate; got != Unlimited {
			t.Errorf("known after the reply: got %v, want no limit", got)
		}
	})
}

// A damaged question changes nothing of what is known, and promises nothing far ahead.
func TestADamagedQuestionChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b")
		known := Announcement{Rate: 10, At: time.Now()}
		d.known[ranked[0]].newest = known

		for name, ask := range map[string]PermitRequest{
			"not a number":      {Rate: Rate(math.NaN())},
			"a negative rate":   {Rate: -1},
			"without end":       {Rate: Rate(math.Inf(1))},
			"a time to come":    {Rate: 1, Age: -time.Hour},
			"a patience of all": {Rate: 10, Age: time.Hour, Patience: math.MaxInt64},
		} {
			ask.Server = limited

			for range 100 {
				if got := d.askers[ranked[0]].HandleRequest(ask); got.Wait > maxPatience+time.Second {
					t.Errorf("%s: got %+v, want a wait of %v or so at most", name, got, maxPatience)
				}
			}

			if got := d.known[ranked[0]].newest; got != known {
				t.Errorf("%s: got %+v, want %+v", name, got, known)
			}
		}
	})
}

// One that grants beside others promises nothing ahead, and does not count what it saved up
// before they came: what others promise and save up is not known.
func TestAStandInNeitherPromisesNorSavesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b", "c", "d")
		granter := d.askers[ranked[1]].Granter
		grant := func(patience time.Duration) Permit { return granter.Grant(time.Now(), limited, 10, patience) }

		time.Sleep(2 * settleSpan)
		grant(0)

		if got := grant(time.Second); got.Granted {
			t.Errorf("a token that comes: got %+v, want it not promised", got)
		}

		time.Sleep(time.Second)

		if got := grant(0); !got.Granted {
			t.Errorf("after a second: got %+v, want it granted", got)
		}

		time.Sleep(time.Second)
		granter.SetLeaders(time.Now(), ranked[:3])

		if got := grant(0); got.Granted {
			t.Errorf("after others came to lead: got %+v, want nothing granted of what was saved up", got)
		}
	})
}

// The first in order promises tokens ahead, in the order of the questions.
func TestTheFirstPromisesAheadInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ranked := newDesks("a", "b")
		granter := d.askers[ranked[0]].Granter

		time.Sleep(2 * settleSpan)

		for i := range 4 {
			want := time.Duration(i+1) * 100 * time.Millisecond

			if got := granter.Grant(time.Now(), limited, 10, 400*time.Millisecond); !got.Granted || got.Wait != want {
				t.Errorf("question %d: got %+v, want it granted after %v", i, got, want)
			}
		}

		if got := granter.Grant(time.Now(), limited, 10, 400*time.Millisecond); got.Granted || got.Wait != 500*time.Millisecond {
			t.Errorf("one more: got %+v, want a refusal and room after 500ms", got)
		}
	})
}
