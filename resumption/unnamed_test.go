package resumption

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stream that goes on at the version of an older stream of the same request, since the
// instance to which its caller returns was out of step when it began, and the caller names no attempt.
func TestUnnamedStreamNeedsTheRecordsOfOthers(t *testing.T) {
	const lifetime = time.Minute

	for name, c := range map[string]struct {
		// apart cuts the instance off from all others while the second stream begins, and still when
		// its caller returns.
		apart, stillApart bool
		want              error
	}{
		"in step":                 {want: ErrAmbiguous},
		"apart as it began":       {apart: true, want: ErrAmbiguous},
		"apart until the returns": {apart: true, stillApart: true, want: ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()

				n := newNetwork(ctx, 9, 9, 0, 1)
				out, other := n.trackers[n.members[0].ID], n.trackers[n.members[1].ID]

				for i := range 20 {
					content := stream(i).Content
					unnamed := Stream{Content: content}

					out.Begun(Stream{Content: content, Attempt: AttemptOf(fmt.Sprint("first-", i))}, Origin{Service: "llm", Version: "v1"}, lifetime)
					time.Sleep(time.Second)

					if got, err := out.Origin(ctx, unnamed); err != nil || got.Version != "v1" {
						t.Errorf("stream %d: got %v, %v, want v1: all streams of its request began there", i, got, err)
					}

					n.setApart(out.Self, c.apart)
					other.Begun(Stream{Content: content, Attempt: AttemptOf(fmt.Sprint("second-", i))}, Origin{Service: "llm", Version: "v2"}, lifetime)
					time.Sleep(time.Second)
					n.setApart(out.Self, c.stillApart)

					if got, err := out.Origin(ctx, unnamed); !errors.Is(err, c.want) {
						t.Errorf("stream %d: got %v, %v, want %v", i, got, err, c.want)
					}

					n.setApart(out.Self, false)
				}
			})
		})
	}
}
