package manifest

// Limits bound a client account over all entry instances.
type Limits struct {
	wire wireLimits
}

// RequestsPerSecond returns the requests that may begin in a second.
func (l Limits) RequestsPerSecond() float64 { return l.wire.RequestsPerSecond }

// TokensPerSecond returns the prompt and generated tokens in a second; 0 where
// the account may call no model service.
func (l Limits) TokensPerSecond() float64 { return l.wire.TokensPerSecond }

// Concurrent returns the requests that may be open at once.
func (l Limits) Concurrent() int { return l.wire.Concurrent }
