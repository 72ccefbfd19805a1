package publication

import (
	"monsoonlever/manifest"
	"monsoonlever/provider"
)

// version is one that took effect.
type version struct {
	id     ID
	source string
}

// truth folds the whole history of a log, of which nothing ages out, by the
// plainest form of the rule.
type truth struct {
	// at holds the version in force after each offset.
	at       []provider.Offset
	versions map[provider.Offset]version
	ids      map[ID]provider.Offset
}

func newTruth() *truth {
	return &truth{
		at:       []provider.Offset{0},
		versions: map[provider.Offset]version{0: {}},
		ids:      map[ID]provider.Offset{},
	}
}

func (t *truth) inForce() provider.Offset {
	return t.at[len(t.at)-1]
}

func (t *truth) follow(l *faultyLog) {
	for _, r := range l.records[len(t.at)-1:] {
		now := t.inForce()
		record, _ := Decode(r.Data)

		switch record := record.(type) {
		case Published:
			if _, err := manifest.Parse("truth", record.Manifest); err == nil && record.DerivedFrom == now {
				now = t.add(r.Offset, record.ID, string(record.Manifest))
			}
		case Fence:
			if record.DerivedFrom == now {
				now = t.add(r.Offset, record.ID, t.versions[now].source)
			}
		}

		t.at = append(t.at, now)
	}
}

func (t *truth) add(offset provider.Offset, id ID, source string) provider.Offset {
	t.versions[offset] = version{id: id, source: source}
	t.ids[id] = offset

	return offset
}
