package gateway

import (
	"net/url"
	"strings"

	"monsoonlever/refusal"
)

const minPrintable = 0x20

// servicePath returns the path and query that a service is sent, encoded anew
// from the decoded path that its call patterns are matched with: what is sent
// decodes to what was matched. Paths that servers read in more than one way are
// refused.
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

// hasEncodedSeparator finds an encoded slash, which some servers take for a
// separator and others for a part of a segment.
func hasEncodedSeparator(escaped string) bool {
	return strings.Contains(escaped, "%2F") || strings.Contains(escaped, "%2f")
}

// hasControlOrBackslash finds control characters, and the backslash, which some servers
// take for a slash.
func hasControlOrBackslash(path string) bool {
	return strings.ContainsFunc(path, func(r rune) bool {
		return r < minPrintable || r == 0x7f || r == '\\'
	})
}

// hasDotSegmentWithParameter finds a segment such as "..;x", which servers that know path
// parameters take for "..".
func hasDotSegmentWithParameter(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		name, _, found := strings.Cut(segment, ";")
		if found && (name == "." || name == "..") {
			return true
		}
	}

	return false
}
