package entry

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/fleet"
)

// maxStampOffset keeps stamps positive for times within the next two centuries.
const maxStampOffset = time.Duration(1 << 61)

// stamps converts between the clock of this process and the opaque times in its messages, which other
// instances echo. The system time, at which the clock of a process starts, may have been set back, so
// that clocks of two processes of one instance show the same times. A random offset tells an echo of
// an earlier process apart.
type stamps struct {
	startedAt time.Time
	offset    time.Duration
}

// newStamps returns the stamps of a process.
func newStamps(startedAt time.Time) stamps {
	return stamps{startedAt: startedAt, offset: rand.N(maxStampOffset)}
}

// at returns the stamp of a time.
func (s stamps) at(now time.Time) int64 { return now.Add(s.offset).UnixNano() }

// timeOf returns the time of a stamp, and whether this process can have sent it until now.
func (s stamps) timeOf(now time.Time, stamp int64) (time.Time, bool) {
	at := time.Unix(0, stamp).Add(-s.offset)

	return at, !at.Before(s.startedAt) && !at.After(now)
}

// echoedAt returns when this process sent the message that another instance echoes. It reports false
// if the echo is missing or of an earlier process: what comes with it may then be of any age.
func (p *components) echoedAt(now time.Time, from fleet.InstanceID, echo int64) (time.Time, bool) {
	if echo == 0 {
		return time.Time{}, false
	}

	at, ok := p.stamps.timeOf(now, echo)
	if ok {
		return at, true
	}

	p.foreignEchoes.Inc()

	if p.foreignEchoLogged.CompareAndSwap(false, true) {
		klog.InfoS("echo is not of this process and was ignored, further ones are only counted", "from", from,
			"uptime", now.Sub(p.startedAt))
	}

	return time.Time{}, false
}
