package document

import (
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonlever/finding"
)

type sample struct {
	Text  string        `json:"text"`
	Count int           `json:"count"`
	Share float64       `json:"share"`
	Wait  time.Duration `json:"wait"`
	On    *bool         `json:"on"`
	Items []sample      `json:"items"`
}

func decodeSample(text string) (sample, []string) {
	var (
		l   finding.List
		out sample
	)

	Decode("f", []byte(text), &out, &l)

	var findings []string
	for _, f := range l.Items() {
		findings = append(findings, f.String())
	}

	return out, findings
}

func TestDecodeReportsEveryFindingWithLineAndPath(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want []string
	}{
		{desc: "comments and trailing commas are fine", text: "// a\n{ \"count\": 1, /* b */ }"},
		{desc: "an unknown field", text: "{\n\"cuont\": 1}", want: []string{"f:2: cuont: is unknown"}},
		{desc: "names differ by case", text: `{"Count": 1}`, want: []string{"f:1: Count: is unknown"}},
		{desc: "a field written twice", text: "{\"count\": 1,\n\"count\": 2}", want: []string{"f:2: count: is written twice"}},
		{
			desc: "wrong types deep inside are all reported",
			text: "{\"items\": [{},\n{\"count\": 1.5},\n{\"wait\": 3, \"text\": null}]}",
			want: []string{
				"f:2: items[1].count: must be a whole number in range, not 1.5",
				"f:3: items[2].wait: must be a duration such as \"250ms\", not 3",
				"f:3: items[2].text: must be a string, not null",
			},
		},
		{desc: "a bad duration", text: `{"wait": "3 days"}`, want: []string{`f:1: wait: must be a duration such as "250ms", not "3 days"`}},
		{desc: "an object for a list", text: `{"items": {}}`, want: []string{"f:1: items: must be an array, not an object"}},
		{desc: "a list for an object", text: `[]`, want: []string{"f:1: must be an object, not an array"}},
		{desc: "a number beyond its range", text: `{"share": 1e999}`, want: []string{"f:1: share: must be a number, not 1e999"}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if _, got := decodeSample(tt.text); !slices.Equal(got, tt.want) {
				t.Errorf("findings: got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestDecodeSetsFieldsWithoutFindings(t *testing.T) {
	got, _ := decodeSample(`{"text": "a", "count": "x", "share": 0.5, "wait": "1m30s", "on": false, "items": [{"count": 3}]}`)

	if got.Text != "a" || got.Count != 0 || got.Share != 0.5 || got.Wait != 90*time.Second {
		t.Errorf("fields: got %+v", got)
	}

	if got.On == nil || *got.On || len(got.Items) != 1 || got.Items[0].Count != 3 {
		t.Errorf("optional field and items: got %v and %v", got.On, got.Items)
	}
}

func TestDecodeRejectsOversizedDeepAndMalformedInput(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want string
	}{
		{desc: "too deep", text: strings.Repeat("[", 1_000_000), want: "nested deeper"},
		{desc: "too large", text: strings.Repeat(" ", MaxBytes+1), want: "is larger"},
		{desc: "not closed", text: "{\n\"text\": \"a", want: "f:2: is not JSON"},
		{desc: "empty", text: "", want: "is not JSON"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, got := decodeSample(tt.text)
			if len(got) != 1 || !strings.Contains(got[0], tt.want) {
				t.Errorf("findings: got %q, want one with %q", got, tt.want)
			}
		})
	}

	if _, got := decodeSample(`{"text": "` + strings.Repeat("[", 100) + `" /* ` + strings.Repeat("{", 100) + ` */}`); got != nil {
		t.Errorf("brackets in text and comments: got %q, want no finding", got)
	}
}

func TestReportUsesLineOfNearestPresentAncestor(t *testing.T) {
	var (
		l   finding.List
		out sample
	)

	d := Decode("f", []byte("{\n\"items\": [\n{},\n{\"count\": \"x\"}]}"), &out, &l)
	d.Report(&l, "items[1].text", "is missing")
	d.Report(&l, "items[1].count", "must be above 0")
	d.Report(&l, "share", "is missing")

	items := l.Items()
	if got, want := len(items), 3; got != want {
		t.Fatalf("findings: got %v, want %d", items, want)
	}

	if got, want := items[1].Line, 4; got != want {
		t.Errorf("line of a missing field: got %d, want %d", got, want)
	}

	if got, want := items[2].Line, 1; got != want {
		t.Errorf("line of a missing top field: got %d, want %d", got, want)
	}
}
