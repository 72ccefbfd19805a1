package placement

// allowance is how many instances of a service may be given up without need.
type allowance struct {
	ready   int
	enough  int
	changes int
}

// take uses the allowance for one instance and tells whether that was allowed.
func (a *allowance) take(o *ObservedInstance) bool {
	if !o.Known || a.changes <= 0 || o.Ready && a.ready <= a.enough {
		return false
	}

	a.changes--

	if o.Ready {
		a.ready--
	}

	return true
}
