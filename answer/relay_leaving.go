package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

func (r *Relay) onLeaving(now time.Time, e LeavingNotice) {
	if r.leaving == nil {
		r.leaving = make(map[fleet.InstanceID]time.Time)
	}

	if _, known := r.leaving[e.Server]; known {
		return
	}

	r.leaving[e.Server] = e.At

	if r.phase == phaseRunning && r.server == e.Server {
		r.leave(now, e.At)
	}
}

// leave prepares the move of the current attempt off a server that is
// reclaimed at a time. The stream goes on while the KV cache is copied.
func (r *Relay) leave(now time.Time, at time.Time) {
	r.moveAt = at.Add(-r.Limits.MoveMargin)

	if !now.Before(r.moveAt) {
		r.move(now, "", "")

		return
	}

	r.askExport()
}

func (r *Relay) askExport() {
	r.out = append(r.out, ExportKV{
		Attempt: r.attempt,
		Server:  r.server,
		Tokens:  len(r.kept),
		By:      r.moveAt,
	})
}

func (r *Relay) onExported(now time.Time, e KVExported) {
	if r.phase == phaseDone || e.Attempt != r.attempt {
		return
	}

	if _, leaving := r.leaving[e.Target]; !leaving {
		r.move(now, e.KV, e.Target)

		return
	}

	// The next wave has announced the target meanwhile; there may be time to
	// copy to another.
	if r.phase == phaseRunning && now.Before(r.moveAt) {
		r.askExport()
	}
}

func sortedServers(m map[fleet.InstanceID]time.Time) []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}

	slices.Sort(out)

	return out
}
