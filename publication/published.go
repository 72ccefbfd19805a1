package publication

import "monsoonlever/provider"

// Published asks for a manifest to be put in force.
type Published struct {
	ID ID `msgpack:"id"`
	// DerivedFrom is the version that must be in force, 0 for none.
	DerivedFrom provider.Offset `msgpack:"derivedFrom"`
	Manifest    []byte          `msgpack:"manifest"`
	Operator    string          `msgpack:"operator"`
}

func (Published) kind() recordKind { return kindPublished }
