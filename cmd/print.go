package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// column gap of tables.
const tablePadding = 2

// table is what a command prints for people.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// print writes v as JSON where that was asked for, and the table otherwise.
func (c *console) print(v any, t *table) error {
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")

		return encoder.Encode(v)
	}

	w := tabwriter.NewWriter(c.out, 0, 0, tablePadding, ' ', 0)

	if len(t.header) > 0 {
		if _, err := fmt.Fprintln(w, strings.Join(t.header, "\t")); err != nil {
			return err
		}
	}

	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}

	return w.Flush()
}
