package admission

import "time"

const (
	// burst is how much of a share may be used at once.
	burst = time.Second
	// evenBurst is the same of an even share. The share of an account that was
	// idle is far below it at first, since it allows for what the other instances
	// may have admitted in the meantime.
	evenBurst = 3 * time.Second
)

// limits is the part of an account's limits that this instance may use.
type limits struct {
	account AccountConfig
	share   float64
	// even is an even share among the members, 0 for an instance that is alone.
	even float64
}

// burst returns how much of the share may be used at once: a second of it, or
// what an even share would allow in a little more. All instances together may
// use evenBurst and burst of the whole limit ahead.
func (l *limits) burst() time.Duration {
	if l.share <= 0 {
		return burst
	}

	return max(burst, time.Duration(float64(evenBurst)*l.even/l.share))
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
