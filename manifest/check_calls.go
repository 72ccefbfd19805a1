package manifest

import (
	"net/http"
	"slices"

	"monsoonlever/document"
	"monsoonlever/fleet"
)

var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (c *checker) checkCalls(field string, s wireService) {
	if len(s.Calls) == 0 {
		c.report(field, "must hold a kind of call")
	}

	seen := map[fleet.CallKind]bool{}

	for i, call := range s.Calls {
		at := document.Item(field, i)
		c.name(document.Child(at, "name"), string(call.Name))
		unique(c, seen, document.Child(at, "name"), call.Name)
		c.priority(document.Child(at, "priority"), call.Priority)
		c.positiveDuration(document.Child(at, "deadline"), call.Deadline)

		if call.Objective <= 0 || call.Objective >= 1 {
			c.report(document.Child(at, "objective"), "must be a share between 0 and 1 such as 0.95")
		}

		c.checkCallOfKind(at, s.Kind, call)
		c.checkCallKeyWindow(at, call)
	}

	c.checkOverlaps(field, s)
}

func (c *checker) checkCallOfKind(at string, kind Kind, call wireCall) {
	target := document.Child(at, "latencyTarget")

	switch kind {
	case ModelService:
		c.checkModelCall(at, target, call)
	case PlainService:
		c.checkPlainCall(at, target, call)
	}
}

func (c *checker) checkModelCall(at, target string, call wireCall) {
	c.positiveDuration(document.Child(target, "firstToken"), call.LatencyTarget.FirstToken)
	c.positiveDuration(document.Child(target, "betweenTokens"), call.LatencyTarget.BetweenTokens)
	c.notNegative(document.Child(target, "whole"), float64(call.LatencyTarget.Whole))

	if call.Method != "" || call.Path != "" {
		c.report(at, "must have no method and path; a model service has its own")
	}

	if call.Idempotent != nil && !*call.Idempotent {
		c.report(document.Child(at, "idempotent"), "must be true; a model service has no other calls")
	}
}

func (c *checker) checkPlainCall(at, target string, call wireCall) {
	c.positiveDuration(document.Child(target, "whole"), call.LatencyTarget.Whole)

	if call.LatencyTarget.FirstToken != 0 || call.LatencyTarget.BetweenTokens != 0 {
		c.report(target, "must have no firstToken and betweenTokens; a plain service has no tokens")
	}

	if !slices.Contains(callMethods, call.Method) {
		c.report(document.Child(at, "method"), "must be one of %v", callMethods)
	}

	if _, ok := parsePattern(call.Path); !ok {
		c.report(document.Child(at, "path"), "must be a path such as \"/approvals/:id/status\"")
	}

	// A default would decide silently whether a call may run twice.
	if call.Idempotent == nil {
		c.report(document.Child(at, "idempotent"), "is missing; say whether the call may run more than once")
	}
}

func (c *checker) checkCallKeyWindow(at string, call wireCall) {
	if call.KeyWindow == nil {
		return
	}

	field := document.Child(at, "keyWindow")
	c.checkKeyWindow(field, *call.KeyWindow)

	if call.Idempotent == nil || *call.Idempotent {
		c.report(field, "is for calls that are not idempotent")
	}
}

// checkOverlaps reports calls that one request could be taken for. Two patterns
// of which one is more specific are fine unless one of the calls is idempotent
// and the other is not: a path that is read in two ways would run twice.
func (c *checker) checkOverlaps(field string, s wireService) {
	if s.Kind != PlainService {
		return
	}

	for i := range s.Calls {
		for j := range s.Calls[:i] {
			c.checkOverlap(document.Item(field, i), &s.Calls[i], &s.Calls[j])
		}
	}
}

func (c *checker) checkOverlap(at string, call, other *wireCall) {
	a, okA := parsePattern(call.Path)

	b, okB := parsePattern(other.Path)
	if !okA || !okB || call.Method != other.Method {
		return
	}

	field := document.Child(at, "path")

	switch {
	case a.sameShape(b):
		c.report(field, "is a duplicate of the path of %s", other.Name)
	case a.overlaps(b) && isIdempotent(call) != isIdempotent(other):
		c.report(field, "matches paths of %s, and only one of them is idempotent", other.Name)
	}
}

func isIdempotent(call *wireCall) bool {
	return call.Idempotent == nil || *call.Idempotent
}
