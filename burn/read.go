package burn

import (
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// run is the part of a load run's JSON that holds its snapshot.
type run struct {
	Burn *Snapshot `json:"burn"`
}

// Read reads a daemon's snapshot, or the one in a load run's JSON.
func Read(r io.Reader) (Snapshot, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return Snapshot{}, merry.Prepend(err, "read snapshot")
	}

	var inRun run
	if err := json.Unmarshal(b, &inRun); err != nil {
		return Snapshot{}, merry.Prepend(err, "decode snapshot")
	}

	if inRun.Burn != nil {
		return *inRun.Burn, nil
	}

	var s Snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return Snapshot{}, merry.Prepend(err, "decode snapshot")
	}

	return s, nil
}
