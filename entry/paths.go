package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/scheduling"
)

// logPathChange logs that this instance can't reach a backend server, or reaches it again.
func logPathChange(c scheduling.PathChange) {
	if c.Lost {
		klog.InfoS("backend server can't be reached", "server", c.Server, "service", c.Service, "refused", c.Refused)

		return
	}

	klog.InfoS("backend server is reached again", "server", c.Server, "service", c.Service, "after", c.After)
}
