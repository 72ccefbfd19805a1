package admission

import "time"

const (
	// baseBurst is how much of a share may be used at once.
	baseBurst = time.Second
	// evenShareBurst is the same of an even share. The share of an account that was
	// idle is far below it at first, since it allows for what the other instances
	// may have admitted in the meantime.
	evenShareBurst = 3 * time.Second
)

// limits is the part of an account's limits that this instance may use.
type limits struct {
	config AccountConfig
	share  float64
	// evenShare is an evenShare share among the members, 0 for an instance that is alone.
	evenShare float64
}

// burst returns how much of the share may be used at once: a second of it, or
// what an even share would allow in a little more. All instances together may
// use evenBurst and burst of the whole limit ahead.
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
