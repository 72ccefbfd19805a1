package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"
)

var (
	link     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading  = regexp.MustCompile(`(?m)^#+ (.+)$`)
	tag      = regexp.MustCompile(`<[^>]*>`)
	codeSpan = regexp.MustCompile("(?s)```.*?```|`[^`\n]*`")
)

// TestLinksOfPagesResolve finds relative links of the documentation that lead
// nowhere, and fragments that are neither a heading nor an anchor.
func TestLinksOfPagesResolve(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatalf("Glob: got %v, want nil", err)
	}

	for _, page := range append(pages, "../README.md") {
		text := codeSpan.ReplaceAllString(readPage(t, page), "")

		for _, match := range link.FindAllStringSubmatch(text, -1) {
			checkLink(t, page, match[1])
		}
	}
}

func checkLink(t *testing.T, page, target string) {
	t.Helper()

	if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
		return
	}

	file, fragment, _ := strings.Cut(target, "#")

	path := page
	if file != "" {
		path = filepath.Join(filepath.Dir(page), file)
	}

	if _, err := os.Stat(path); err != nil {
		t.Errorf("link %s of %s: got %v, want a file", target, filepath.Base(page), err)

		return
	}

	if fragment != "" && !hasAnchor(readPage(t, path), fragment) {
		t.Errorf("link %s of %s: got no such heading or anchor, want one", target, filepath.Base(page))
	}
}

func readPage(t *testing.T, path string) string {
	t.Helper()

	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("ReadFile: got %v, want nil", err)
	}

	return string(data)
}

// hasAnchor tells whether a page has a heading or an anchor of its own of a name.
func hasAnchor(page, fragment string) bool {
	if strings.Contains(page, fmt.Sprintf("<a id=%q></a>", fragment)) {
		return true
	}

	for _, match := range heading.FindAllStringSubmatch(page, -1) {
		if anchor(tag.ReplaceAllString(match[1], "")) == fragment {
			return true
		}
	}

	return false
}

// anchor returns the fragment of a heading: lower case, dashes for spaces,
// nothing for punctuation.
func anchor(title string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ' || r == '-':
			return '-'
		case r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r):
			return unicode.ToLower(r)
		default:
			return -1
		}
	}, title)
}
