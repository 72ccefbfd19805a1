package entry

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/register"
)

// serverAnnouncedLeaving takes in that a backend server said in an answer that it leaves. The
// next heartbeats pass it on.
func (p *components) serverAnnouncedLeaving(server register.Process) {
	klog.InfoS("backend server announces that it leaves", "server", server)
	p.markLeaving([]register.Process{server})
}

// markLeaving takes in which starts of servers leave.
func (p *components) markLeaving(processes []register.Process) {
	if len(processes) == 0 {
		return
	}

	p.updateServers(func() []register.Delta { return p.register.MarkLeaving(processes) })
}

// logBackoff logs that a backend server turned a request away and asked for no further ones.
func logBackoff(server register.Process, backoff time.Duration) {
	klog.InfoS("backend server asks for backoff", "server", server, "backoff", backoff)
}
