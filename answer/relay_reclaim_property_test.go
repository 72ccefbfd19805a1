package answer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// reclaimOne announces the reclaim of a server and puts a new one in its place.
func (w *world) reclaimOne(t *rapid.T) {
	server := fleet.InstanceID(fmt.Sprintf("s%d", rapid.IntRange(0, w.servers-1).Draw(t, "server")))
	if w.leaving[server] {
		return
	}

	w.servers++
	w.notice(t, server)
}

// TestHoldsAnnouncedReclaimNeverRefuses checks that answers come whole through
// any number of announced reclaims of backend servers without a single retry,
// whether their caches get through or not.
func TestHoldsAnnouncedReclaimNeverRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, b := range w.budgets {
			b.left = 0
		}

		all := w.actions()
		t.Repeat(map[string]func(*rapid.T){
			"token":          all["token"],
			"more tokens":    all["more tokens"],
			"repeated token": all["repeated token"],
			"crossed token":  all["crossed token"],
			"kv exported":    all["kv exported"],
			"export failed":  all["export failed"],
			"reclaim":        w.reclaimOne,
			"a leaving server dies": func(t *rapid.T) {
				server := fleet.InstanceID(fmt.Sprintf("s%d", rapid.IntRange(0, w.servers-1).Draw(t, "server")))
				if w.leaving[server] {
					w.kill(t, server)
				}
			},
			"time passes": func(t *rapid.T) {
				w.advance(t, time.Second)

				for i := range w.relays {
					if n := len(w.streams[i]); n > 0 {
						w.emit(t, i, w.streams[i][n-1])
					}
				}
			},
		})
		w.settle(t)

		for i := range w.relays {
			if got, want := w.done[i], "complete"; got != want {
				t.Fatalf("request %d: got %q after %d of %d tokens, want %q", i, got, len(w.got[i]), w.length, want)
			}
		}
	})
}
