package answer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/fleet"
)

// acceptWhole has instance a answer r0, and returns the instance with a copy and
// the one without.
func (s *site) acceptWhole(t *testing.T) (holder, other fleet.InstanceID) {
	t.Helper()

	request := Request{ID: "r0", Account: "account", Deadline: time.Now().Add(time.Minute)}

	epoch, err := s.nodes["a"].Accept(t.Context(), request, time.Second)
	if err != nil {
		t.Fatalf("accept: got %v, want no error", err)
	}

	s.answer(s.ctx["a"], "a", Continue{Request: request, Epoch: epoch})
	time.Sleep(5 * time.Second)

	if s.nodes["b"].Counts().Answers > 0 {
		return "b", "c"
	}

	return "c", "b"
}

// TestFollowWaitsForSlowCopy guards against an answer that is called unknown while
// the instance that has it is slow to reply.
func TestFollowWaitsForSlowCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		holder, other := s.acceptWhole(t)
		s.die("a")
		s.net.stall(holder, 20*time.Second)

		c := &fakeCaller{}
		if err := s.nodes[other].Follow(t.Context(), "account", EventID{Request: "r0"}, c); err != nil {
			t.Errorf("follow: got %v, want none", err)
		}

		if len(c.got) == 0 {
			t.Error("tokens: got none, want the answer")
		}

		s.close()
	})
}

// TestFollowTellsSilenceFromUnknown guards against the same within the time that a
// caller waits: only if all instances have replied is an answer not known.
func TestFollowTellsSilenceFromUnknown(t *testing.T) {
	const wait = 2 * time.Second

	tests := []struct {
		desc  string
		id    RequestID
		stall time.Duration
		want  error
	}{
		{desc: "copy is slow", id: "r0", stall: time.Minute, want: ErrNoReply},
		{desc: "instance without a copy is slow", id: "r9", stall: time.Minute, want: ErrNoReply},
		{desc: "all replied", id: "r9", want: ErrNotFoundYet},
		{desc: "last reply comes late", id: "r9", stall: wait - 200*time.Millisecond, want: ErrNotFoundYet},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				holder, other := s.acceptWhole(t)
				s.die("a")

				// The copy would take over, and give the other instance a copy, if it knew
				// that the owner is dead.
				s.nodes[other].SetMembers([]Member{{ID: holder, Incarnation: 1, Domain: fleet.FailureDomain(holder)}})
				s.net.stall(holder, tt.stall)

				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()

				got := s.nodes[other].Follow(ctx, "account", EventID{Request: tt.id}, &fakeCaller{})
				if !errors.Is(got, tt.want) {
					t.Errorf("got %v, want %v", got, tt.want)
				}

				s.close()
			})
		})
	}
}
