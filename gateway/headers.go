package gateway

import (
	"net/http"
	"slices"
)

// singleValueHeaders are the headers that the gateway interprets. A request that
// repeats one of them is refused, since it is ambiguous which value applies.
var singleValueHeaders = []string{
	"Authorization", HeaderIdempotencyKey, HeaderDeadline, HeaderTimeout, HeaderPriority, HeaderCallKind,
}

// repeatedHeader returns the name of a header in singleValueHeaders that the request
// has more than once, and reports whether there is one.
func repeatedHeader(h http.Header) (string, bool) {
	for _, name := range singleValueHeaders {
		if len(h.Values(name)) > 1 {
			return name, true
		}
	}

	return "", false
}

// hasIdempotencyKey reports whether any of the HeaderIdempotencyKey values of a
// request is non-empty, also if the request repeats the header.
func hasIdempotencyKey(h http.Header) bool {
	return slices.ContainsFunc(h.Values(HeaderIdempotencyKey), func(key string) bool { return key != "" })
}
