package resumption

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/fleet"
)

// Guards against a stream that goes on at the version of an older stream of the same request, since the
// instance to which its caller returns was out of step when it began, whether its caller names the attempt
// or not.
func TestStreamAtInstanceOutOfStepKeepsItsVersion(t *testing.T) {
	const (
		lifetime = time.Minute
		streams  = 20
	)

	for name, c := range map[string]struct {
		// while is how the instance is out of step when the second stream begins, and then that when its
		// caller returns.
		while, then reach
		// named and unnamed are the results of callers that name the second attempt, and of those that don't.
		named, unnamed error
	}{
		"in step":                   {unnamed: ErrAmbiguous},
		"cut off as it began":       {while: cutOff, unnamed: ErrAmbiguous},
		"cut off until the return":  {while: cutOff, then: cutOff, named: ErrUnknown, unnamed: ErrUnknown},
		"stood still as it began":   {while: standsStill, unnamed: ErrAmbiguous},
		"stood still, then cut off": {while: standsStill, then: cutOff, named: ErrUnknown, unnamed: ErrUnknown},
		"in step, then cut off":     {then: cutOff, named: ErrUnknown, unnamed: ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()

				n := newNetwork(ctx, 9, 9, 0, 1)
				out, other := n.trackers[n.members[0].ID], n.trackers[n.members[1].ID]

				for i := range streams {
					content := stream(i).Content
					first, second := Stream{content, AttemptOf(fmt.Sprint("first-", i))}, Stream{content, AttemptOf(fmt.Sprint("second-", i))}
					unnamed := Stream{Content: content}

					out.Begun(first, Origin{Service: "llm", Version: "v1"}, lifetime)
					time.Sleep(time.Second)
					checkOrigin(ctx, t, out, unnamed, "v1", nil)

					n.setReach(out.Self, c.while)
					other.Begun(second, Origin{Service: "llm", Version: "v2"}, lifetime)
					time.Sleep(time.Second)
					n.setReach(out.Self, c.then)

					want := c.unnamed
					if out.holds(second) {
						want = ErrAmbiguous
					}

					checkOrigin(ctx, t, out, unnamed, "", want)

					if want = c.named; out.holds(second) {
						want = nil
					}

					checkOrigin(ctx, t, out, second, "v2", want)

					n.setReach(out.Self, inStep)
				}
			})
		})
	}
}

// checkOrigin checks where a stream began by what an instance finds out, or why it does not.
func checkOrigin(ctx context.Context, t *testing.T, at *Tracker, s Stream, want fleet.Version, wantErr error) {
	t.Helper()

	got, err := at.Origin(ctx, s)
	if !errors.Is(err, wantErr) || err == nil && got.Version != want {
		t.Errorf("attempt %d of %v: got %v, %v, want %q, %v", s.Attempt, s.Content, got, err, want, wantErr)
	}
}

// holds reports whether the instance has a record of a stream.
func (t *Tracker) holds(s Stream) bool {
	_, result := t.table.find(t.Clock.Now(), s)

	return result != Unknown
}
