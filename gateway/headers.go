package gateway

import (
	"net/http"
	"slices"
)

// interpretedHeaders are the headers that the gateway goes by. Of two values
// it could not tell which one the caller means.
var interpretedHeaders = []string{
	"Authorization", HeaderIdempotencyKey, HeaderDeadline, HeaderTimeout, HeaderPriority, HeaderCallKind,
}

// repeatedHeader returns a header that must stand once and does not.
func repeatedHeader(h http.Header) (string, bool) {
	for _, name := range interpretedHeaders {
		if len(h.Values(name)) > 1 {
			return name, true
		}
	}

	return "", false
}

// isKeyed tells whether a request brings an idempotency key, if only in one of
// several headers.
func isKeyed(h http.Header) bool {
	return slices.ContainsFunc(h.Values(HeaderIdempotencyKey), func(key string) bool { return key != "" })
}
