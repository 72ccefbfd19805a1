package rollout

import (
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// choices reports whether any of many requests go to the new version only, and whether all
// others avoid it.
func choices(g *Gate, now time.Time) (some, avoided bool) {
	avoided = true

	for range 400 {
		c := g.Choose(now, service)
		some = some || c.Only == target
		avoided = avoided && (c.Only == target || slices.Contains(c.Avoid, target))
	}

	return some, avoided
}

// An instance sends requests to a new version only while it has a valid decision of the duty
// holder.
func TestNewVersionGetsNoTrafficWithoutCurrentDecision(t *testing.T) {
	const life = 2 * time.Second

	order := Order{Service: service, Target: target, Duration: time.Minute, Place: 7}
	trial := State{Service: service, Target: target, Place: 7, Fence: 1, Step: 1, Share: 0.2}

	for name, tt := range map[string]struct {
		apply func(g *Gate)
		at    time.Duration
		some  bool
	}{
		"an order without a decision": {apply: func(*Gate) {}},
		"a valid decision":            {apply: func(g *Gate) { g.Apply(begin, trial, begin) }, at: life / 2, some: true},
		"an expired decision":         {apply: func(g *Gate) { g.Apply(begin, trial, begin) }, at: life},
		"a decision of unknown age":   {apply: func(g *Gate) { g.Apply(begin, trial, time.Time{}) }},
		"a decision on an earlier order": {apply: func(g *Gate) {
			earlier := trial
			earlier.Place = 6
			g.Apply(begin, earlier, begin)
		}},
		"a late decision after a revert": {apply: func(g *Gate) {
			reverted := trial
			reverted.Phase = Reverted
			g.Apply(begin, reverted, begin)
			late := trial
			late.Step = 9
			g.Apply(begin, late, begin)
		}},
	} {
		g := &Gate{GrantTTL: life}
		g.AddOrder(begin, order)
		tt.apply(g)

		some, avoided := choices(g, begin.Add(tt.at))
		if some != tt.some || !avoided {
			t.Errorf("%s: got requests to the new version %t, avoided by the rest %t, want %t and true",
				name, some, avoided, tt.some)
		}
	}
}

// After completion, requests may go to the new version and to none of the versions that it
// replaced.
func TestCompletedVersionReplacesEarlierOnes(t *testing.T) {
	g := &Gate{GrantTTL: time.Second}
	g.AddOrder(begin, Order{Service: service, Target: target, Duration: time.Minute, Place: 7})
	g.Apply(begin, State{
		Service: service, Target: target, Place: 7, Phase: Completed, Avoid: []fleet.Version{before},
	}, time.Time{})

	c := g.Choose(begin.Add(time.Hour), service)
	if c.Only != "" || !slices.Equal(c.Avoid, []fleet.Version{before}) {
		t.Errorf("got %+v, want only the replaced version avoided", c)
	}
}

// Operators write an order again when the platform has lost it. It must keep its state under
// its new place.
func TestReissuedOrderKeepsItsState(t *testing.T) {
	g := &Gate{GrantTTL: time.Second}
	order := Order{Service: service, Target: target, Duration: time.Minute, Place: 7}

	g.AddOrder(begin, order)
	g.Apply(begin, State{Service: service, Target: target, Place: 7, Phase: Completed}, begin)

	again := order
	again.Place = 1<<40 + 3
	g.AddOrder(begin.Add(time.Minute), again)

	tasks := g.Tasks()
	if len(tasks) != 1 || tasks[0].State.Phase != Completed || tasks[0].State.Place != again.Place {
		t.Errorf("got %+v, want it completed at its new place", tasks)
	}
}

// Guards against streams that go on at a version which was reverted, or at one on trial for which no
// request may begin there; and against streams of a trial that can go on nowhere.
func TestStreamsGoOnAtVersionsThatMayServe(t *testing.T) {
	const life = 2 * time.Second

	trial := State{Service: service, Target: target, Place: 7, Fence: 1, Step: 1, Share: 0.2}
	with := func(phase Phase, share float64) State {
		s := trial
		s.Phase, s.Share = phase, share

		return s
	}

	for name, tt := range map[string]struct {
		state   State
		after   time.Duration
		avoided bool
	}{
		"on trial":                      {state: trial},
		"on trial, of an old decision":  {state: trial, after: life, avoided: true},
		"on trial, without any share":   {state: with(Trial, 0), avoided: true},
		"completed":                     {state: with(Completed, 1)},
		"reverted":                      {state: with(Reverted, 0), avoided: true},
		"reverted, of an old decision ": {state: with(Reverted, 0), after: time.Hour, avoided: true},
	} {
		g := &Gate{GrantTTL: life}
		g.AddOrder(begin, Order{Service: service, Target: target, Duration: time.Minute, Place: 7})
		g.Apply(begin, tt.state, begin)

		if got := slices.Contains(g.Avoided(begin.Add(tt.after), service, target), target); got != tt.avoided {
			t.Errorf("%s: got avoided %v, want %v", name, got, tt.avoided)
		}
	}
}
