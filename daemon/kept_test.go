package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// streams are answers that run while something fails.
type streams struct {
	deployment *deployment
	maxTokens  int
	results    []streamed
	errs       []error
	group      conc.WaitGroup
}

// run asks for n answers, from the entry instances in turn, and returns once
// each has begun. Callers whose connection breaks go on at the live instances.
func (d *deployment) run(n, maxTokens int, from, live []*entry) *streams {
	s := &streams{deployment: d, maxTokens: maxTokens, results: make([]streamed, n), errs: make([]error, n)}
	begun := make(chan struct{}, n)

	for i := range n {
		s.group.Go(func() {
			content := essay(i)
			seen := d.askAdmitted(from[i%len(from)], content, maxTokens, func() { begun <- struct{}{} })
			s.results[i], s.errs[i] = d.goOn(live, content, maxTokens, seen)
		})
	}

	for range n {
		select {
		case <-begun:
		case <-d.ctx.Done():
			d.t.Fatal("got no begin of every answer, want all")
		}
	}

	return s
}

func essay(i int) string {
	return fmt.Sprint("essay number ", i)
}

// check waits for the answers, each of which must be whole.
func (s *streams) check() {
	s.deployment.t.Helper()
	s.group.Wait()

	for i, got := range s.results {
		if s.errs[i] != nil || !got.whole {
			s.deployment.t.Errorf("answer %d: got whole %v, status %d, refused %q, %v, want a whole answer",
				i, got.whole, got.status, got.refused, s.errs[i])

			continue
		}

		if want := wantAnswer(essay(i), s.maxTokens); got.text != want {
			s.deployment.t.Errorf("answer %d: got %q, want %q", i, got.text, want)
		}
	}
}

func TestKilledEntryInstanceLosesNoStream(t *testing.T) {
	d := newSlowDeployment(t, 3, 10*time.Millisecond)

	running := d.run(12, 250, d.entries[:1], d.entries[1:])
	killed := time.Now()

	d.entries[0].kill()
	running.check()
	t.Logf("answers were whole %v after the kill", time.Since(killed).Round(time.Millisecond))
}
