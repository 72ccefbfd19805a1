package admission

// limits is the part of an account's limits that this instance may use.
type limits struct {
	account AccountConfig
	share   float64
}

func (l *limits) requests() float64 {
	return l.account.RequestsPerSecond * l.share
}

func (l *limits) tokens() float64 {
	return l.account.TokensPerSecond * l.share
}

func (l *limits) concurrent() float64 {
	return float64(l.account.Concurrent) * l.share
}
