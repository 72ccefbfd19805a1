package document

import (
	"regexp"
	"strconv"
)

// syntaxLinePattern matches the line number in the text of a parser error, which
// has no field for it.
var syntaxLinePattern = regexp.MustCompile(`line (\d+)`)

// syntaxLine returns the line that a parser error names, or 0 if it names none.
func syntaxLine(err error) int {
	match := syntaxLinePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}

	line, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}

	return line
}

// tooDeep returns the offset of the first bracket beyond MaxDepth and whether there
// is one. It runs before the parser, which recurses without a depth limit.
func tooDeep(data []byte) (int, bool) {
	s := depthScanner{data: data}

	return s.firstTooDeep()
}
