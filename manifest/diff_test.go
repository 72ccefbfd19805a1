package manifest

import (
	"os"
	"slices"
	"strings"
	"testing"
)

func TestDiffNamesEachChangeByItsPath(t *testing.T) {
	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		t.Fatal(err)
	}

	tests := []struct {
		desc     string
		old, new string
		want     []string
	}{
		{desc: "nothing changed", old: "", new: "", want: nil},
		{desc: "a comment is no change", old: "// Two of", new: "// Three of", want: nil},
		{
			desc: "a value changed", old: `"deadline": "30s"`, new: `"deadline": "45s"`,
			want: []string{"services[payrun-api].calls[submit-bank-file].deadline: 30s -> 45s"},
		},
		{
			desc: "an element is one change", old: `["reconcile", "notices"]`, new: `["notices"]`,
			want: []string{"models[ledger-large].adapters[reconcile]: removed"},
		},
		{
			desc: "a renamed element is removed and added",
			old:  `"name": "draft-notice"`, new: `"name": "write-notice"`,
			want: []string{
				"services[ledger-llm].calls[draft-notice]: removed",
				"services[ledger-llm].calls[write-notice]: added",
			},
		},
	}

	a, err := Parse("a", data)
	if err != nil {
		t.Fatal(err)
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b, err := Parse("b", []byte(strings.Replace(string(data), tt.old, tt.new, 1)))
			if err != nil {
				t.Fatal(err)
			}

			var got []string
			for _, c := range Diff(a, b) {
				got = append(got, c.String())
			}

			if !slices.Equal(got, tt.want) {
				t.Errorf("changes: got %q, want %q", got, tt.want)
			}

			if got, want := len(Diff(b, a)), len(tt.want); got != want {
				t.Errorf("changes the other way: got %d, want %d", got, want)
			}
		})
	}
}

func TestDiffAgainstNoManifestNamesTheTopFields(t *testing.T) {
	m := load(t, "abyssinia.manifest.jsonc")

	got := Diff(nil, m)
	if len(got) == 0 || got[0].Field() != "name" || got[0].Kind() != Added {
		t.Errorf("changes from nothing: got %v, want the name added first", got)
	}

	if got := Diff(m, m); got != nil {
		t.Errorf("changes from itself: got %v, want none", got)
	}
}
