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
	// A delayed update of another instance, and an entry that was read late.
	r.Apply([]Change{ready("i-1", 15), {ID: "i-2", Version: 9}})

	if got := r.Servers(); len(got) != 1 || got[0].ID != "i-2" {
		t.Errorf("servers: got %+v, want i-2 alone", got)
	}

	// A server whose entry expired comes back with its next entry.
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
		t.Error("same servers: got different digests, want equal ones")
	}

	one.MarkLeaving([]Process{{ID: "i-2"}})

	if one.Digest() == other.Digest() {
		t.Error("one server leaving: got the same digest, want another")
	}
}

// A server may restart under its ID. A leaving mark of the earlier process does not apply to
// the new one, and a delayed entry of the earlier process does not bring that process back.
func TestNewProcessIsNotLeaving(t *testing.T) {
	var r Register

	entry := func(version uint64, incarnation fleet.Incarnation, leaving bool) Change {
		return Change{ID: "i-1", Version: version, Server: &Server{ID: "i-1", Incarnation: incarnation, Leaving: leaving}}
	}

	r.Replace([]Change{entry(10, 500, true)})
	before := r.Digest()
	r.Apply([]Change{entry(11, 900, false)})

	if got := r.Servers()[0]; got.Leaving || got.Incarnation != 900 {
		t.Errorf("second process: got %+v, want it ready", got)
	}

	if r.Digest() == before {
		t.Error("second process: got the digest of the first, want another")
	}

	if len(r.MarkLeaving([]Process{{ID: "i-1", Incarnation: 500}})) > 0 {
		t.Error("first process marked as leaving: got deltas, want none")
	}

	r.Apply([]Change{entry(12, 500, true)})

	if got := r.Servers()[0]; got.Leaving || got.Incarnation != 900 {
		t.Errorf("after a delayed entry of the first process: got %+v, want the second process", got)
	}

	if len(r.MarkLeaving([]Process{{ID: "i-1", Incarnation: 900}})) == 0 {
		t.Error("second process marked as leaving: got no deltas, want some")
	}
}
