package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/provider"
	"monsoonlever/standin"
)

// streams are answers that run while something fails.
type streams struct {
	deployment *deployment
	results    []streamed
	errs       []error
	group      conc.WaitGroup
}

// run asks for n answers, from the entry instances in turn, and returns once
// each has begun. Callers whose connection breaks go on at the live instances.
func (d *deployment) run(n int, from, live []*entry) *streams {
	s := &streams{deployment: d, results: make([]streamed, n), errs: make([]error, n)}
	begun := make(chan struct{}, n)

	for i := range n {
		s.group.Go(func() {
			content := essay(i)
			seen := d.askAdmitted(from[i%len(from)], content, longAnswer, func() { begun <- struct{}{} })
			s.results[i], s.errs[i] = d.goOn(live, content, longAnswer, seen)
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

// longAnswer is the least number of tokens in the answers to essays.
const longAnswer = 200

// essay returns the i-th of the prompts that the engines answer at length.
func essay(i int) string {
	for n := 0; ; n++ {
		prompt := fmt.Sprint("essay number ", n)
		if len(standin.ExpectedAnswer(testModel, "user: "+prompt+"\n", 0)) < longAnswer {
			continue
		}

		if i == 0 {
			return prompt
		}

		i--
	}
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

		if want := wantAnswer(essay(i), longAnswer); got.text != want {
			s.deployment.t.Errorf("answer %d: got %q, want %q", i, got.text, want)
		}
	}
}

// TestKilledEntryInstanceLosesNoStream guards against 404 for streams that their
// callers resume elsewhere after their instance has died.
func TestKilledEntryInstanceLosesNoStream(t *testing.T) {
	t.Parallel()

	d := newSlowDeployment(t, 3, 10*time.Millisecond)

	running := d.run(12, d.entries[:1], d.entries[1:])
	killed := time.Now()

	d.entries[0].kill()
	running.check()
	t.Logf("answers were whole %v after the kill", time.Since(killed).Round(time.Millisecond))
}

func TestKilledCopyHoldsNoStreamBack(t *testing.T) {
	// bound is far below the time until the others hold the copy's instance dead.
	const bound = 5 * time.Second

	t.Parallel()

	d := newSlowDeployment(t, 3, 5*time.Millisecond)

	running := d.run(12, d.entries[:1], d.entries[:1])
	killed := time.Now()

	d.entries[1].kill()
	running.check()

	took := time.Since(killed)
	t.Logf("answers were whole %v after the kill", took.Round(time.Millisecond))

	if took > bound {
		t.Errorf("answers: whole after %v, want at most %v", took, bound)
	}
}

func TestReclaimedEntryInstanceHandsItsAnswersOff(t *testing.T) {
	const notice = 3 * time.Second

	t.Parallel()

	d := newSlowDeployment(t, 3, 30*time.Millisecond)
	leaving := d.entries[0]
	d.platform.Cloud.Adopt(provider.Instance{
		ID: leaving.id, Domain: "the entry instance alone", Market: provider.Reclaimable,
	})

	running := d.run(12, d.entries[:1], d.entries[1:])
	noticed := time.Now()

	d.platform.Cloud.Reclaim("the entry instance alone", notice)
	d.platform.Cloud.Wait()

	select {
	case err := <-leaving.done:
		if err != nil {
			t.Errorf("stop: got %v, want none", err)
		}
	default:
		t.Error("got an instance that runs at the end of its notice, want it stopped")
		leaving.kill()
	}

	running.check()
	t.Logf("answers were whole %v after the notice", time.Since(noticed).Round(time.Millisecond))

	for _, e := range d.entries[1:] {
		t.Logf("%s took over %d answers", e.id, e.parts.replicator.Counts().Takeovers)
	}
}

func TestCallerWhoMovedIsNotTakenForGone(t *testing.T) {
	t.Parallel()

	d := newSlowDeployment(t, 3, 40*time.Millisecond)

	var group conc.WaitGroup

	for i, to := range d.entries[1:] {
		group.Go(func() {
			ctx, leave := context.WithCancel(d.ctx)
			seen, _ := d.askWith(ctx, d.entries[0], essay(i), longAnswer, streamed{}, leave)
			got, err := d.goOn([]*entry{to}, essay(i), longAnswer, seen)

			if err != nil || !got.whole {
				t.Errorf("%s: got whole %v, status %d, refused %q, %v, want a whole answer",
					to.id, got.whole, got.status, got.refused, err)
			}

			if want := wantAnswer(essay(i), longAnswer); got.text != want {
				t.Errorf("%s: got %q, want %q", to.id, got.text, want)
			}
		})
	}

	group.Wait()
}

func TestCallerWhoIsGoneFreesTheEngine(t *testing.T) {
	t.Parallel()

	d := newSlowDeployment(t, 2, 50*time.Millisecond)
	ctx, leave := context.WithCancel(d.ctx)

	_, _ = d.askWith(ctx, d.entries[0], essay(0), longAnswer, streamed{}, leave)
	left := time.Now()

	d.eventually("no engine works at the answer", func() bool {
		// The questions to the engines let the others run.
		_, _, _ = d.call(d.ctx, d.entries[1], http.MethodGet, "/approvals/7/status", "", "")

		return d.inFlight(d.entries[0]) == 0
	})

	decoded := 0
	for _, e := range d.engines {
		decoded += e.Usage().Decoded
	}

	t.Logf("the engine was free %v after its caller had gone, and %d tokens", time.Since(left).Round(time.Millisecond), decoded)

	if decoded >= longAnswer {
		t.Errorf("tokens: got %d, want fewer than the whole answer of %d", decoded, longAnswer)
	}
}

func TestStopDoesNotWaitForCallersWhoAreGone(t *testing.T) {
	t.Parallel()

	d := newSlowDeployment(t, 2, 50*time.Millisecond)
	leaving := d.entries[0]
	ctx, leave := context.WithCancel(d.ctx)

	_, _ = d.askWith(ctx, leaving, essay(0), longAnswer, streamed{}, leave)
	left := time.Now()

	leaving.stop()

	if err := <-leaving.done; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}

	took := time.Since(left)
	t.Logf("the instance had stopped %v after its caller had gone", took.Round(time.Millisecond))

	if took >= followerGrace {
		t.Errorf("stop: got %v, want less than the %v for which an answer waits for its caller", took, followerGrace)
	}
}

// inFlight returns how many requests an instance has at backend servers.
func (d *deployment) inFlight(e *entry) int64 {
	total := int64(0)
	for _, s := range e.parts.table.Statuses() {
		total += s.InFlight()
	}

	return total
}
