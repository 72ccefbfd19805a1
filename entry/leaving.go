package entry

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/register"
)

// serverAnnouncedLeaving records that a backend server announced in a response that it leaves. The
// next heartbeats pass it on.
func (p *components) serverAnnouncedLeaving(server register.Process) {
	klog.InfoS("backend server announces that it leaves", "server", server)
	p.markLeaving([]register.Process{server})
}

// markLeaving records that these processes of backend servers leave.
func (p *components) markLeaving(processes []register.Process) {
	if len(processes) == 0 {
		return
	}

	p.updateServers(func() []register.Delta { return p.register.MarkLeaving(processes) })
}

// logBackoff logs that a backend server rejected a request and asked for backoff.
func logBackoff(server register.Process, backoff time.Duration) {
	klog.InfoS("backend server asks for backoff", "server", server, "backoff", backoff)
}
