package placement

// retirementBudget is how many instances of a service may be given up without need.
type retirementBudget struct {
	ready     int
	minReady  int
	remaining int
}

// take uses the allowance for one instance and tells whether that was allowed.
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
