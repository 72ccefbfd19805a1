package daemon

import (
	"net/http"
	"testing"

	"monsoonlever/refusal"
)

func TestStoppingInstanceRefusesWhoComesLate(t *testing.T) {
	t.Parallel()

	d := newLoneDeployment(t)
	e := d.entries[0]

	e.stop()
	d.eventually("the instance is stopping", func() bool {
		d.look(e)

		return e.parts.gateway.Stopping()
	})

	k := &keyed{key: "late"}
	run := d.submit(e, k)

	if len(k.told) == 0 || run != refusal.NotStarted {
		t.Errorf("call of a caller who comes late: got told %v, %d connections broken, want %s", k.told, k.broken, refusal.NotStarted)
	}

	got, err := d.ask(e, essay(0), 20, nil)
	if err != nil || got.status != http.StatusServiceUnavailable {
		t.Errorf("stream of a caller who comes late: got %d, %v, want %d", got.status, err, http.StatusServiceUnavailable)
	}
}
