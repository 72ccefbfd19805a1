package scheduling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// Eight instances place 40 prompts a second on nine engines. Without updates of the others, 53 in
// 1,000 prompts wait longer than 800 ms for their first event; with updates, 13 do.
func TestUpdatesShortenPromptWaits(t *testing.T) {
	var isolated, updated simulationResult

	for seed := range uint64(5) {
		p := simulation{instances: 8, engines: 9, interval: 25 * time.Millisecond, duration: 30 * time.Second, seed: seed}
		result := p.run(t)
		isolated.reread += result.reread
		isolated.waits = append(isolated.waits, result.waits...)

		p.updates, p.delay = true, 50*time.Millisecond
		result = p.run(t)
		updated.reread += result.reread
		updated.waits = append(updated.waits, result.waits...)
	}

	slices.Sort(isolated.waits)
	slices.Sort(updated.waits)

	if got, before := updated.late(), isolated.late(); got > 0.05 || got > before/4 {
		t.Errorf("prompts that wait for longer than %v: got %.3f with updates and %.3f without, want a quarter and 0.05 at most",
			objective, got, before)
	}
}

func TestUpdatesCarryBacklogsAndCachedSegments(t *testing.T) {
	here, there := engines(2, 64), engines(2, 64)
	r := promptRequest("session")

	a := pick(t, there, r)
	a.Start(now)
	here.ApplyUpdate(now, "entry-2", Peer, there.TakeUpdate(now, Upstream))

	other := fleet.InstanceID("i-0")
	if a.ID() == other {
		other = "i-1"
	}

	server, idle := here.servers[a.ID()], here.servers[other]

	if got, want := server.remotePending(now), int64(a.uncachedTokens); got != want {
		t.Errorf("remote backlog: got %d, want %d", got, want)
	}

	if got, want := server.cachedTokens(now, r.Prompt.keys(), r.Prompt), r.Prompt.sharedTokens(); got != want {
		t.Errorf("cached while the prompt is read: got %d, want the shared %d", got, want)
	}

	if got := idle.remotePending(now) + int64(idle.cachedTokens(now, r.Prompt.keys(), r.Prompt)); got != 0 {
		t.Errorf("at the other server: got %d tokens waiting and cached, want 0", got)
	}

	a.FirstEventReceived(now)
	here.ApplyUpdate(now, "entry-2", Peer, there.TakeUpdate(now, Upstream))

	if got := server.remotePending(now); got != 0 {
		t.Errorf("remote backlog after the prompt was read: got %d, want 0", got)
	}

	if !there.TakeUpdate(now, Upstream).Empty() {
		t.Error("update after all was sent: got some content, want none")
	}
}

// An instance that terminated no longer reports that its prompts were read.
func TestBacklogExpiresWithoutUpdates(t *testing.T) {
	s := engines(1, 64)
	server := s.servers["i-0"]
	s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Backlogs: []Backlog{{Server: server.key, Tokens: 9000}}})

	if got := server.remotePending(now.Add(backlogTTL)); got != 9000 {
		t.Errorf("backlog at the end of its TTL: got %d, want 9000", got)
	}

	if got := server.remotePending(now.Add(backlogTTL + time.Millisecond)); got != 0 {
		t.Errorf("backlog after its TTL: got %d, want 0", got)
	}
}

func TestFailedAttemptClearsRemoteBacklog(t *testing.T) {
	here, there := engines(1, 64), engines(1, 64)

	a := pick(t, there, promptRequest("session"))
	a.Start(now)
	here.ApplyUpdate(now, "entry-2", Peer, there.TakeUpdate(now, Upstream))
	a.End(now, Failed)
	here.ApplyUpdate(now, "entry-2", Peer, there.TakeUpdate(now, Upstream))

	if got := here.servers["i-0"].remotePending(now); got != 0 {
		t.Errorf("remote backlog after the attempt failed: got %d, want 0", got)
	}
}

// Guards against unbounded growth of an outbox whose updates are not taken.
func TestUnsentUpdatesAreBounded(t *testing.T) {
	s := engines(1, 64)

	for i := range 4 * maxQueuedSegments {
		a := pick(t, s, promptRequest(fmt.Sprint("session-", i)))
		a.Start(now)
		a.FirstEventReceived(now)
		a.End(now, Served)
	}

	if got := len(s.TakeUpdate(now, Upstream).Holdings); got > maxQueuedSegments {
		t.Errorf("entries of cached segments: got %d, want at most %d", got, maxQueuedSegments)
	}
}
