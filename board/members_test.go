package board

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
)

func TestFewLeadAndAllNameTheSame(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := &Members{Lapse: 7 * time.Second}, &Members{Lapse: 7 * time.Second}

	if !one.Leading("entry-3") {
		t.Error("nobody is known: got no lead, want one")
	}

	for i := range 40 {
		one.Met(now, fleet.InstanceID(fmt.Sprint("entry-", i)), "")
		other.Met(now, fleet.InstanceID(fmt.Sprint("entry-", 39-i)), "")
	}

	leading := 0

	for i := range 40 {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		if one.Leading(id) != other.Leading(id) {
			t.Errorf("%s: got %t and %t, want the same", id, one.Leading(id), other.Leading(id))
		}

		if one.Leading(id) {
			leading++
		}
	}

	if leading != leaders {
		t.Errorf("leading: got %d, want %d", leading, leaders)
	}
}
