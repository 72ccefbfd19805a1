package register

import (
	"testing"

	"monsoonlever/fleet"
)

func ready(id fleet.InstanceID, version uint64) Change {
	return Change{ID: id, Version: version, Server: &Server{ID: id, Service: "llm"}}
}

func TestAnOlderChangeChangesNothing(t *testing.T) {
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

func TestTheDigestNamesWhichServersThereAre(t *testing.T) {
	var one, other Register
	one.Replace([]Change{ready("i-1", 10), ready("i-2", 11)})
	other.Replace([]Change{ready("i-2", 31), ready("i-1", 30)})

	if one.Digest() != other.Digest() {
		t.Error("the same servers: got different digests, want the same")
	}

	one.Leave([]fleet.InstanceID{"i-2"})

	if one.Digest() == other.Digest() {
		t.Error("one leaves: got the same digest, want another")
	}
}
