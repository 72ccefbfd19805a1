package placement

// retirementBudget limits the voluntary retirements of one service in a step.
// Ready instances are retired only while more than minReady are left.
type retirementBudget struct {
	ready     int
	minReady  int
	remaining int
}

// take reports whether the instance may be retired, and if so deducts it from
// the budget. An instance of unknown health is never retired.
func (a *retirementBudget) take(o *ObservedInstance) bool {
	if !o.HealthKnown || a.remaining <= 0 || o.Ready && a.ready <= a.minReady {
		return false
	}

	a.remaining--

	if o.Ready {
		a.ready--
	}

	return true
}
