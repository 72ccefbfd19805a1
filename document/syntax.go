package document

import (
	"regexp"
	"strconv"
)

// syntaxLinePattern finds the line in the parser's text; its errors have no fields.
var syntaxLinePattern = regexp.MustCompile(`line (\d+)`)

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

// tooDeep returns the offset of the first bracket beyond MaxDepth. The parser
// recurses without a bound of its own.
func tooDeep(data []byte) (int, bool) {
	s := depthScanner{data: data}

	return s.firstTooDeep()
}
