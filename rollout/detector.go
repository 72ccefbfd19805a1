package rollout

import "math"

const (
	// falseAlarmProbability is the probability, at most, with which a good version is taken for a bad
	// one on a route within alarmAnswers answers, by failures or by their pace.
	falseAlarmProbability = 0.01
	falseAlarmAnswers     = 2000
	// detectableIncrease is the part of the answers that the old version ends well and a bad one does
	// not, at least, which the test is made for.
	detectableIncrease = 0.15
	// slowPaceSteps is how many steps of pace above the usual an answer has to be to count as
	// slow, some three times as long: a cold cache or a full server makes some answers twice
	// as slow. usualAnswers is how many answers of the old version show what is usual.
	slowPaceSteps   = 3
	baselineAnswers = 20
	// minBadRate is the least rate of bad answers that a version may have: no old version
	// was seen often enough to show a lower one.
	minBadRate = 0.01
	// allRoutes names all routes of a service together.
	allRoutes = "all routes"
)

// alarmThreshold is the level at which the sum of a sequential test (Page's cumulative sum) tells a
// bad version: a sum of logarithms of likelihood ratios passes it within n answers of a
// good one with a probability of n times its inverse exponential at most.
var alarmThreshold = math.Log(falseAlarmAnswers / falseAlarmProbability) //nolint:gochecknoglobals // it is constant

// detector holds a version against the old one on the same routes at the same time. The zero
// value has seen nothing.
type detector struct {
	failures, paces map[string]*routeTest
	// allFailures and allPaces add up the evidence of all routes: a version that is bad on
	// each of many routes shows it on none soon.
	allFailures, allPaces cusum
	// slow are the paces beyond which answers are slow on each route, once the old version has shown what
	// is usual.
	slow map[string]uint8
}

// routeTest is the sequential routeTest of one route.
type routeTest struct {
	n, bad uint32
	cusum
}

// cusum is the cumulative sum of a sequential test.
type cusum struct {
	sum float64
}

// evidence is what answers add to a sequence: the logarithms of the likelihood ratios of
// those that ended well, which lower it, and of the others.
type evidence struct {
	good, bad float64
}

func (e evidence) plus(other evidence) evidence {
	return evidence{good: e.good + other.good, bad: e.bad + other.bad}
}

// add adds evidence and reports whether the sequence alarms.
func (s *cusum) add(e evidence) bool {
	s.sum = math.Max(s.sum+e.good, 0) + e.bad

	return s.sum >= alarmThreshold
}

// verdict is what a judge says of the new version.
type verdict struct {
	bad bool
	// route and reason say what gave it away.
	route, reason string
}

// update takes the newest counts in and returns the verdict.
func (j *detector) update(routes map[string]Count) verdict {
	if j.failures == nil {
		j.failures, j.paces, j.slow = make(map[string]*routeTest), make(map[string]*routeTest), make(map[string]uint8)
	}

	var (
		v               verdict
		failures, paces evidence
	)

	for route, c := range routes {
		seen, alarms := updateTest(j.failures, route, baselineRate(c.Old.Failed, c.Old.Answered), c.New.Answered, c.New.Failed)
		failures = failures.plus(seen)

		if alarms {
			v = verdict{bad: true, route: route, reason: "failures"}
		}

		slow, known := j.slowPace(route, c.Old)
		if !known {
			continue
		}

		seen, alarms = updateTest(j.paces, route, baselineRate(c.Old.slowerThan(slow), c.Old.timedAnswers()), c.New.timedAnswers(), c.New.slowerThan(slow))
		paces = paces.plus(seen)

		if alarms {
			v = verdict{bad: true, route: route, reason: "slow answers"}
		}
	}

	return j.updateAll(v, failures, paces)
}

// updateAll adds the evidence of all routes and returns the verdict, which rather names one route.
func (j *detector) updateAll(v verdict, failures, paces evidence) verdict {
	failing, slow := j.allFailures.add(failures), j.allPaces.add(paces)

	switch {
	case v.bad:
		return v
	case failing:
		return verdict{bad: true, route: allRoutes, reason: "failures"}
	case slow:
		return verdict{bad: true, route: allRoutes, reason: "slow answers"}
	default:
		return verdict{}
	}
}

// slowPace returns the pace beyond which answers of a route are slow.
func (j *detector) slowPace(route string, old Answers) (uint8, bool) {
	if slow, known := j.slow[route]; known {
		return slow, true
	}

	if old.timedAnswers() < baselineAnswers {
		return 0, false
	}

	j.slow[route] = old.medianPace() + slowPaceSteps

	return j.slow[route], true
}

// baselineRate returns the rate of bad answers that the old version may have: a good deal above
// what was seen where little was.
func baselineRate(bad, n uint32) float64 {
	seen := float64(bad) / math.Max(float64(n), 1)
	spread := math.Sqrt((seen*(1-seen) + minBadRate) / math.Max(float64(n), 1))

	return math.Min(math.Max(seen+spread, minBadRate), 1-detectableIncrease)
}

// updateTest adds what was answered since to a route's test. It returns the evidence, and whether the
// test alarms.
func updateTest(tests map[string]*routeTest, route string, baseline float64, n, bad uint32) (evidence, bool) {
	t := tests[route]
	if t == nil {
		t = &routeTest{}
		tests[route] = t
	}

	badVersionRate := baseline + (1-baseline)*detectableIncrease
	newBad, newGood := float64(bad-t.bad), float64(n-t.n)-float64(bad-t.bad)
	t.n, t.bad = n, bad

	e := evidence{
		good: newGood * math.Log((1-badVersionRate)/(1-baseline)),
		bad:  newBad * math.Log(badVersionRate/baseline),
	}

	return e, t.add(e)
}
