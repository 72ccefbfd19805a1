package burn

import (
	"encoding/json"
	"io"
)

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")

	return e.Encode(r)
}
