package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/ratelimit"
	"monsoonlever/scheduling"
)

// logLimit logs that a backend server announced another limit than before.
func logLimit(c scheduling.LimitChange) {
	if c.After == ratelimit.Unlimited {
		klog.InfoS("backend server takes requests without a limit again", "server", c.Server, "before", c.Before)

		return
	}

	klog.InfoS("backend server limits its requests", "server", c.Server, "perSecond", c.After, "before", c.Before)
}
