package placement

// Load is a rate of work, or the rate that one instance carries at the latency
// target.
type Load struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Scale returns the load times a factor.
func (l Load) Scale(factor float64) Load {
	return Load{
		RequestsPerSecond: l.RequestsPerSecond * factor,
		TokensPerSecond:   l.TokensPerSecond * factor,
	}
}

// Max returns the greater of each rate.
func (l Load) Max(other Load) Load {
	return Load{
		RequestsPerSecond: max(l.RequestsPerSecond, other.RequestsPerSecond),
		TokensPerSecond:   max(l.TokensPerSecond, other.TokensPerSecond),
	}
}

// share returns the fraction of demand that one instance of capacity l carries.
func (l Load) share(demand Load) float64 {
	instancesNeeded := 0.0
	if l.RequestsPerSecond > 0 {
		instancesNeeded = max(instancesNeeded, demand.RequestsPerSecond/l.RequestsPerSecond)
	}

	if l.TokensPerSecond > 0 {
		instancesNeeded = max(instancesNeeded, demand.TokensPerSecond/l.TokensPerSecond)
	}

	if instancesNeeded == 0 {
		return 1
	}

	return 1 / instancesNeeded
}
