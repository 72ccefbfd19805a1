package rollout

import "math"

const (
	// falseAlarms is the probability, at most, with which a good version is taken for a bad
	// one on a route within alarmAnswers answers, by failures or by their pace.
	falseAlarms  = 0.01
	alarmAnswers = 2000
	// worse is the part of the answers that the old version ends well and a bad one does
	// not, at least, which the test is made for.
	worse = 0.15
	// slowSteps is how many steps of pace above the usual an answer has to be to count as
	// slow, some three times as long: a cold cache or a full server makes some answers twice
	// as slow. usualAnswers is how many answers of the old version show what is usual.
	slowSteps    = 3
	usualAnswers = 20
	// leastRate is the least rate of bad answers that a version may have: no old version
	// was seen often enough to show a lower one.
	leastRate = 0.01
	// allRoutes names all routes of a service together.
	allRoutes = "all routes"
)

// alarm is the level at which the sum of a sequential test (Page's cumulative sum) tells a
// bad version: a sum of logarithms of likelihood ratios passes it within n answers of a
// good one with a probability of n times its inverse exponential at most.
var alarm = math.Log(alarmAnswers / falseAlarms) //nolint:gochecknoglobals // it is constant

// judge holds a version against the old one on the same routes at the same time. The zero
// value has seen nothing.
type judge struct {
	failures, paces map[string]*test
	// allFailures and allPaces add up the evidence of all routes: a version that is bad on
	// each of many routes shows it on none soon.
	allFailures, allPaces sequence
	// slow are the paces beyond which answers are slow on each route, once the old version has shown what
	// is usual.
	slow map[string]uint8
}

// test is the sequential test of one route.
type test struct {
	n, bad uint32
	sequence
}

// sequence is the cumulative sum of a sequential test.
type sequence struct {
	sum float64
}

// evidence is what answers add to a sequence: the logarithms of the likelihood ratios of
// those that ended well, which lower it, and of the others.
type evidence struct {
	well, bad float64
}

func (e evidence) plus(other evidence) evidence {
	return evidence{well: e.well + other.well, bad: e.bad + other.bad}
}

// add adds evidence and reports whether the sequence alarms.
func (s *sequence) add(e evidence) bool {
	s.sum = math.Max(s.sum+e.well, 0) + e.bad

	return s.sum >= alarm
}

// verdict is what a judge says of the new version.
type verdict struct {
	bad bool
	// route and why say what gave it away.
	route, why string
}

// see takes the newest counts in and returns the verdict.
func (j *judge) see(routes map[string]Count) verdict {
	if j.failures == nil {
		j.failures, j.paces, j.slow = make(map[string]*test), make(map[string]*test), make(map[string]uint8)
	}

	var (
		v               verdict
		failures, paces evidence
	)

	for route, c := range routes {
		seen, alarms := step(j.failures, route, rateOf(c.Old.Failed, c.Old.Answered), c.New.Answered, c.New.Failed)
		failures = failures.plus(seen)

		if alarms {
			v = verdict{bad: true, route: route, why: "failures"}
		}

		slow, known := j.slowPace(route, c.Old)
		if !known {
			continue
		}

		seen, alarms = step(j.paces, route, rateOf(c.Old.slower(slow), c.Old.timed()), c.New.timed(), c.New.slower(slow))
		paces = paces.plus(seen)

		if alarms {
			v = verdict{bad: true, route: route, why: "slow answers"}
		}
	}

	return j.seeAll(v, failures, paces)
}

// seeAll adds the evidence of all routes and returns the verdict, which rather names one route.
func (j *judge) seeAll(v verdict, failures, paces evidence) verdict {
	failing, slow := j.allFailures.add(failures), j.allPaces.add(paces)

	switch {
	case v.bad:
		return v
	case failing:
		return verdict{bad: true, route: allRoutes, why: "failures"}
	case slow:
		return verdict{bad: true, route: allRoutes, why: "slow answers"}
	default:
		return verdict{}
	}
}

// slowPace returns the pace beyond which answers of a route are slow.
func (j *judge) slowPace(route string, old Answers) (uint8, bool) {
	if slow, known := j.slow[route]; known {
		return slow, true
	}

	if old.timed() < usualAnswers {
		return 0, false
	}

	j.slow[route] = old.middle() + slowSteps

	return j.slow[route], true
}

// rateOf returns the rate of bad answers that the old version may have: a good deal above
// what was seen where little was.
func rateOf(bad, n uint32) float64 {
	seen := float64(bad) / math.Max(float64(n), 1)
	spread := math.Sqrt((seen*(1-seen) + leastRate) / math.Max(float64(n), 1))

	return math.Min(math.Max(seen+spread, leastRate), 1-worse)
}

// step adds what was answered since to a route's test. It returns the evidence, and whether the
// test alarms.
func step(tests map[string]*test, route string, usual float64, n, bad uint32) (evidence, bool) {
	t := tests[route]
	if t == nil {
		t = &test{}
		tests[route] = t
	}

	worseRate := usual + (1-usual)*worse
	newBad, newWell := float64(bad-t.bad), float64(n-t.n)-float64(bad-t.bad)
	t.n, t.bad = n, bad

	e := evidence{
		well: newWell * math.Log((1-worseRate)/(1-usual)),
		bad:  newBad * math.Log(worseRate/usual),
	}

	return e, t.add(e)
}
