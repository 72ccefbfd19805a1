package entry

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/register"
)

// logLeaving logs that a backend server said in an answer that it leaves.
func logLeaving(server register.Start) {
	klog.InfoS("backend server announces that it leaves", "server", server)
}

// logBackoff logs that a backend server turned a request away and asked for no further ones.
func logBackoff(server register.Start, backoff time.Duration) {
	klog.InfoS("backend server asks for backoff", "server", server, "backoff", backoff)
}
