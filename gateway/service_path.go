package gateway

import (
	"net/url"
	"strings"

	"monsoonlever/refusal"
)

const minPrintable = 0x20

// servicePath returns the path and query to forward to a service. It encodes the
// decoded path that the call patterns were matched against, so that the forwarded
// path decodes to exactly the matched one. Paths that servers may interpret
// differently are refused.
func servicePath(u *url.URL, path string) (string, *refusal.Refusal) {
	if hasEncodedSeparator(u.EscapedPath()) || hasControlOrBackslash(path) || hasDotSegmentWithParameter(path) {
		return "", refusal.New(refusal.BadRequest, "the path may be read in more than one way")
	}

	if strings.Contains(u.RawQuery, "#") {
		return "", refusal.New(refusal.BadRequest, "the query holds a fragment")
	}

	forwarded := (&url.URL{Path: path}).EscapedPath()
	if u.RawQuery != "" {
		forwarded += "?" + u.RawQuery
	}

	return forwarded, nil
}

// hasEncodedSeparator reports whether a path has an encoded slash, which some servers
// treat as a separator and others as a character of a segment.
func hasEncodedSeparator(escaped string) bool {
	return strings.Contains(escaped, "%2F") || strings.Contains(escaped, "%2f")
}

// hasControlOrBackslash reports whether a path has a control character, or a
// backslash, which some servers treat as a slash.
func hasControlOrBackslash(path string) bool {
	return strings.ContainsFunc(path, func(r rune) bool {
		return r < minPrintable || r == 0x7f || r == '\\'
	})
}

// hasDotSegmentWithParameter reports whether a path has a segment such as "..;x", which
// servers that support path parameters treat as "..".
func hasDotSegmentWithParameter(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		name, _, found := strings.Cut(segment, ";")
		if found && (name == "." || name == "..") {
			return true
		}
	}

	return false
}
