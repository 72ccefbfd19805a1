package gateway

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	metricInCode = regexp.MustCompile(`["` + "`" + `](monsoonlever_[a-z_%]+)`)
	metricOnPage = regexp.MustCompile("(?m)^\\| `(monsoonlever_[a-z_]+)` \\|")
)

// metricPatterns returns a pattern for each metric name in the code of the module. A
// name with a formatting verb matches several metrics.
func metricPatterns(t *testing.T) map[string]*regexp.Regexp {
	t.Helper()

	patterns := map[string]*regexp.Regexp{}

	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}

		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}

		for _, match := range metricInCode.FindAllStringSubmatch(string(source), -1) {
			name := match[1]
			patterns[name] = regexp.MustCompile("^" + strings.ReplaceAll(name, "%s", "[a-z_]+") + "$")
		}

		return nil
	})
	if err != nil {
		t.Fatal(err)
	}

	return patterns
}

func TestMetricsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}

	patterns := metricPatterns(t)
	listed := map[string]bool{}

	for _, match := range metricOnPage.FindAllStringSubmatch(string(page), -1) {
		known := false

		for pattern, re := range patterns {
			if re.MatchString(match[1]) {
				known = true
				listed[pattern] = true
			}
		}

		if !known {
			t.Errorf("docs/metrics.md: got %s, which the code does not have", match[1])
		}
	}

	for pattern := range patterns {
		if !listed[pattern] {
			t.Errorf("docs/metrics.md: got no row for %s, want one", pattern)
		}
	}
}
