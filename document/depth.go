package document

import "bytes"

// depthScanner tracks the nesting depth of brackets outside strings and comments.
type depthScanner struct {
	data  []byte
	pos   int
	depth int
}

// firstTooDeep returns the offset of the first bracket beyond MaxDepth and whether
// there is one.
func (s *depthScanner) firstTooDeep() (int, bool) {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			s.skipString()
		case '/':
			s.skipComment()
		case '{', '[':
			s.depth++
			if s.depth > MaxDepth {
				return s.pos, true
			}
		case '}', ']':
			s.depth--
		}

		s.pos++
	}

	return 0, false
}

// skipString advances the position to the closing quote.
func (s *depthScanner) skipString() {
	for s.pos++; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case '\\':
			s.pos++
		case '"':
			return
		}
	}
}

// skipComment advances the position to the last byte of a comment. A slash that
// begins no comment is left to the parser, which rejects it.
func (s *depthScanner) skipComment() {
	rest := s.data[s.pos:]

	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		s.skipPast(rest, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		s.skipPast(rest, "*/")
	}
}

func (s *depthScanner) skipPast(rest []byte, end string) {
	i := bytes.Index(rest[2:], []byte(end))
	if i < 0 {
		s.pos = len(s.data)

		return
	}

	s.pos += 2 + i + len(end) - 1
}
