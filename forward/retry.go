package forward

import (
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/retry"
)

// takeRetry takes a further attempt from the retry budget of a service.
func (f *Forwarder) takeRetry(service fleet.Service) bool {
	now := f.Clock.Now()
	budget := f.Retries.Of(retry.NewScope(service, ""))

	if budget.Take(now) {
		return true
	}

	if budget.MarkRefused(now) {
		used := budget.Usage(now)
		klog.InfoS("retry budget is spent", "service", service, "retries", used.Retries(), "requests", used.Requests(), "fixedPart", used.Fixed())
	}

	return false
}
