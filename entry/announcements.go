package entry

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/register"
)

// serverAnnouncedLeaving takes in that a backend server said in an answer that it leaves. The
// next heartbeats pass it on.
func (p *parts) serverAnnouncedLeaving(server register.Start) {
	klog.InfoS("backend server announces that it leaves", "server", server)
	p.markLeaving([]register.Start{server})
}

// markLeaving takes in which starts of servers leave.
func (p *parts) markLeaving(starts []register.Start) {
	if len(starts) == 0 {
		return
	}

	p.changeServers(func() []register.Delta { return p.register.Leave(starts) })
}

// logBackoff logs that a backend server turned a request away and asked for no further ones.
func logBackoff(server register.Start, backoff time.Duration) {
	klog.InfoS("backend server asks for backoff", "server", server, "backoff", backoff)
}
