package entry

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/fleet"
)

// observeEcho counts an echo that was not sent during the lifetime of this process, and logs the
// first one.
func (p *components) observeEcho(now time.Time, from fleet.InstanceID, echo time.Time) {
	if !echo.Before(p.startedAt) && !echo.After(now) {
		return
	}

	p.foreignEchoes.Inc()

	if p.foreignEchoLogged.CompareAndSwap(false, true) {
		klog.InfoS("echo is not of this process, further ones are only counted", "from", from,
			"sinceStart", echo.Sub(p.startedAt), "age", now.Sub(echo))
	}
}
