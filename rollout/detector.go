package rollout

import "math"

const (
	// falseAlarmProbability is the highest probability that a good version is judged bad on a
	// route within falseAlarmAnswers answers, by failures or by latency.
	falseAlarmProbability = 0.01
	falseAlarmAnswers     = 2000
	// detectableIncrease is the share of answers that succeed on the old version and fail on a
	// bad one. The test is designed for at least this increase.
	detectableIncrease = 0.15
	// slowPaceSteps is how many steps of Paces above the old version's median an answer counts
	// as slow, about three times the duration: a cold cache or a full server doubles the
	// duration of some answers. baselineAnswers is the number of answers of the old version
	// needed for the median.
	slowPaceSteps   = 3
	baselineAnswers = 20
	// minBadRate is the smallest assumed rate of bad answers of the old version; too few
	// answers are observed to establish a lower one.
	minBadRate = 0.01
	// allRoutes is the route of a verdict that is based on all routes of a service together.
	allRoutes = "all routes"
)

// alarmThreshold is the level at which Page's cumulative sum test reports a bad version. For a
// good version, the sum of log-likelihood ratios exceeds a level h within n answers with a
// probability of at most n*exp(-h).
var alarmThreshold = math.Log(falseAlarmAnswers / falseAlarmProbability) //nolint:gochecknoglobals // it is constant

// detector compares the new version with the old one on the same routes over the same time.
// The zero value has no observations.
type detector struct {
	failures, paces map[string]*routeTest
	// allFailures and allPaces accumulate the evidence of all routes. A version that is bad on
	// each of many routes takes too long to show on any single one.
	allFailures, allPaces cusum
	// slow holds, by route, the pace above which answers are slow. It is set once the old
	// version has given enough answers on the route.
	slow map[string]uint8
}

// routeTest is the sequential test of one route.
type routeTest struct {
	n, bad uint32
	cusum
}

// cusum is the cumulative sum of a sequential test.
type cusum struct {
	sum float64
}

// evidence holds the log-likelihood ratios that answers add to a cusum: good answers lower the
// sum, bad answers raise it.
type evidence struct {
	good, bad float64
}

func (e evidence) plus(other evidence) evidence {
	return evidence{good: e.good + other.good, bad: e.bad + other.bad}
}

// add adds evidence and reports whether the sum has reached the alarm threshold.
func (s *cusum) add(e evidence) bool {
	s.sum = math.Max(s.sum+e.good, 0) + e.bad

	return s.sum >= alarmThreshold
}

// verdict is the detector's result for the new version.
type verdict struct {
	bad bool
	// route and reason name where and why the version was found bad.
	route, reason string
}

// update processes the newest counts and returns the verdict.
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

// updateAll adds the evidence of all routes and returns the verdict. A verdict on a single
// route takes precedence.
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

// slowPace returns the pace above which answers of a route are slow, and whether it is known.
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

// baselineRate returns the assumed rate of bad answers of the old version: the observed rate
// plus a standard deviation, which is large for few answers.
func baselineRate(bad, n uint32) float64 {
	seen := float64(bad) / math.Max(float64(n), 1)
	spread := math.Sqrt((seen*(1-seen) + minBadRate) / math.Max(float64(n), 1))

	return math.Min(math.Max(seen+spread, minBadRate), 1-detectableIncrease)
}

// updateTest adds the answers since the last update to a route's test. It returns their
// evidence and whether the test raises an alarm.
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
