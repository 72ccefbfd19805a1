package manifest

import "strings"

// Diff returns what changed from a to b, in the order of the fields. Either may
// be nil, which stands for no manifest. An element that is in one of them alone
// is one change, not one for each of its fields. The order of named elements
// is no change.
func Diff(a, b *Manifest) []Change {
	before, after := fieldsOf(a), fieldsOf(b)

	var changes []Change

	for _, f := range before.list {
		other, ok := after.byPath[f.path]

		switch {
		case !ok && !hasPrefix(changes, Removed, f.path):
			changes = append(changes, Change{kind: Removed, field: f.path, before: f.value})
		case ok && other != f.value:
			changes = append(changes, Change{kind: Changed, field: f.path, before: f.value, after: other})
		}
	}

	for _, f := range after.list {
		if _, ok := before.byPath[f.path]; !ok && !hasPrefix(changes, Added, f.path) {
			changes = append(changes, Change{kind: Added, field: f.path, after: f.value})
		}
	}

	return changes
}

// hasPrefix tells whether the last change already covers the path. Fields come
// right after the element that they belong to.
func hasPrefix(changes []Change, kind ChangeKind, path string) bool {
	if len(changes) == 0 {
		return false
	}

	last := changes[len(changes)-1]
	rest, ok := strings.CutPrefix(path, last.field)

	return ok && last.kind == kind && rest != "" && strings.ContainsRune(".[", rune(rest[0]))
}
