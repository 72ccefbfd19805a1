package register

import (
	"testing"

	"monsoonlever/fleet"
)

func entryOf(id fleet.InstanceID, version uint64, leaving bool) Change {
	return Change{ID: id, Version: version, Server: &Server{ID: id, Incarnation: 1, Service: "api", Leaving: leaving}}
}

// A copy that lacks the newest records removes no server, clears no leaving mark and brings
// back no removed server. Changes after it apply as usual.
func TestRestoreRevertsNoNewerChange(t *testing.T) {
	var r Register

	r.Replace([]Change{entryOf("stays", 1, false), entryOf("leaves", 2, false), entryOf("goes", 3, false)})
	r.Apply([]Change{entryOf("leaves", 4, true), {ID: "goes", Version: 5}, entryOf("new", 6, false)})

	const era = 1000

	r.Restore([]Change{entryOf("stays", era+1, false), entryOf("leaves", era+2, false), entryOf("goes", era+3, false)})

	got := make(map[fleet.InstanceID]bool)
	for _, s := range r.Servers() {
		got[s.ID] = s.Leaving
	}

	for id, leaving := range map[fleet.InstanceID]bool{"stays": false, "leaves": true, "new": false} {
		if is, there := got[id]; !there || is != leaving {
			t.Errorf("%s: got present %t and leaving %t, want true and %t", id, there, is, leaving)
		}
	}

	if len(got) != 3 {
		t.Errorf("servers: got %v, want no removed server", got)
	}

	r.Apply([]Change{entryOf("goes", era+4, false)})

	if got := len(r.Servers()); got != 4 {
		t.Errorf("after the server's next entry: got %d servers, want 4", got)
	}

	r.Replace([]Change{entryOf("stays", era+1, false)})

	if got := len(r.Servers()); got != 1 {
		t.Errorf("after the next full snapshot: got %d servers, want 1", got)
	}
}
