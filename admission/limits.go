package admission

import "time"

const (
	// baseBurst is how much of a share may be consumed in one burst.
	baseBurst = time.Second
	// evenShareBurst is the same for an even share. After an account was idle, its actual share is
	// initially far below an even one, since it allows for requests that other instances may
	// have admitted in the meantime.
	evenShareBurst = 3 * time.Second
)

// limits holds the limits of an account and the share of them that this instance may use.
type limits struct {
	config AccountConfig
	share  float64
	// evenShare is an equal share for each member, or 0 for a single instance.
	evenShare float64
}

// burst returns how much of the share may be consumed in one burst: a second's worth, or
// evenShareBurst of an even share if that is more. All instances together may exceed the limit by at
// most evenShareBurst and baseBurst of it.
func (l *limits) burst() time.Duration {
	if l.share <= 0 {
		return baseBurst
	}

	return max(baseBurst, time.Duration(float64(evenShareBurst)*l.evenShare/l.share))
}

func (l *limits) requestRate() float64 {
	return l.config.RequestsPerSecond * l.share
}

func (l *limits) tokenRate() float64 {
	return l.config.TokensPerSecond * l.share
}

func (l *limits) concurrency() float64 {
	return float64(l.config.Concurrent) * l.share
}
