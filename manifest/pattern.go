package manifest

import (
	"slices"
	"strings"
)

const parameterPrefix = ":"

// pattern is a path of literal segments and parameters that stand for one
// segment each, such as /approvals/:id/status.
type pattern struct {
	segments []string
}

func parsePattern(path string) (pattern, bool) {
	if !strings.HasPrefix(path, "/") {
		return pattern{}, false
	}

	segments := strings.Split(path[1:], "/")
	for _, segment := range segments {
		if !isPatternSegment(segment) {
			return pattern{}, false
		}
	}

	return pattern{segments: segments}, true
}

func isPatternSegment(segment string) bool {
	name := strings.TrimPrefix(segment, parameterPrefix)

	return isPathSegment(name) && !strings.ContainsAny(name, ":*%?#")
}

// isPathSegment rejects segments that a server may fold away: its path would no
// longer be the one that was matched.
func isPathSegment(segment string) bool {
	return segment != "" && segment != "." && segment != ".."
}

func isParameter(segment string) bool {
	return strings.HasPrefix(segment, parameterPrefix)
}

func (p pattern) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return false
	}

	for i, want := range p.segments {
		got, tail, more := strings.Cut(rest, "/")
		if more != (i < len(p.segments)-1) || !segmentMatches(want, got) {
			return false
		}

		rest = tail
	}

	return true
}

func segmentMatches(want, got string) bool {
	if isParameter(want) {
		return isPathSegment(got)
	}

	return want == got
}

// overlaps tells whether a path exists that both patterns match.
func (p pattern) overlaps(o pattern) bool {
	if len(p.segments) != len(o.segments) {
		return false
	}

	for i, a := range p.segments {
		b := o.segments[i]
		if !isParameter(a) && !isParameter(b) && a != b {
			return false
		}
	}

	return true
}

// sameShape tells whether both patterns match the same paths.
func (p pattern) sameShape(o pattern) bool {
	return slices.EqualFunc(p.segments, o.segments, func(a, b string) bool {
		return a == b || isParameter(a) && isParameter(b)
	})
}

// compareSpecific orders patterns with literal segments further left first.
func (p pattern) compareSpecific(o pattern) int {
	for i := range min(len(p.segments), len(o.segments)) {
		a, b := isParameter(p.segments[i]), isParameter(o.segments[i])
		if a != b && a {
			return 1
		}

		if a != b {
			return -1
		}
	}

	return len(p.segments) - len(o.segments)
}
