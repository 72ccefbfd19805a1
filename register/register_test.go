package register

import (
	"testing"

	"monsoonlever/fleet"
)

func ready(id fleet.InstanceID, version uint64) Change {
	return Change{ID: id, Version: version, Server: &Server{ID: id, Service: "llm"}}
}

func TestApplyIgnoresOlderChanges(t *testing.T) {
	var r Register
	r.Replace([]Change{ready("i-1", 10), ready("i-2", 11)})
	r.Apply([]Change{{ID: "i-1", Version: 20}})
	// News of another instance that was long on its way, and an entry read late.
	r.Apply([]Change{ready("i-1", 15), {ID: "i-2", Version: 9}})

	if got := r.Servers(); len(got) != 1 || got[0].ID != "i-2" {
		t.Errorf("servers: got %+v, want i-2 alone", got)
	}

	// One that lapsed comes back with its next entry.
	r.Apply([]Change{ready("i-1", 21)})

	if got := len(r.Servers()); got != 2 {
		t.Errorf("servers: got %d, want 2", got)
	}
}

func TestDigestIdentifiesServerSet(t *testing.T) {
	var one, other Register
	one.Replace([]Change{ready("i-1", 10), ready("i-2", 11)})
	other.Replace([]Change{ready("i-2", 31), ready("i-1", 30)})

	if one.Digest() != other.Digest() {
		t.Error("the same servers: got different digests, want the same")
	}

	one.MarkLeaving([]Process{{ID: "i-2"}})

	if one.Digest() == other.Digest() {
		t.Error("one leaves: got the same digest, want another")
	}
}

// A server may start again under its id. What was said of the start before says nothing
// of it, and an entry of that start which comes late does not bring it back.
func TestNewProcessIsNotLeaving(t *testing.T) {
	var r Register

	entry := func(version uint64, incarnation fleet.Incarnation, leaving bool) Change {
		return Change{ID: "i-1", Version: version, Server: &Server{ID: "i-1", Incarnation: incarnation, Leaving: leaving}}
	}

	r.Replace([]Change{entry(10, 500, true)})
	before := r.Digest()
	r.Apply([]Change{entry(11, 900, false)})

	if got := r.Servers()[0]; got.Leaving || got.Incarnation != 900 {
		t.Errorf("second start: got %+v, want it ready", got)
	}

	if r.Digest() == before {
		t.Error("second start: got the digest of the first, want another")
	}

	if len(r.MarkLeaving([]Process{{ID: "i-1", Incarnation: 500}})) > 0 {
		t.Error("the first start is said to leave: got news, want none")
	}

	r.Apply([]Change{entry(12, 500, true)})

	if got := r.Servers()[0]; got.Leaving || got.Incarnation != 900 {
		t.Errorf("after a late entry of the first start: got %+v, want the second", got)
	}

	if len(r.MarkLeaving([]Process{{ID: "i-1", Incarnation: 900}})) == 0 {
		t.Error("the second start is said to leave: got no news, want some")
	}
}
