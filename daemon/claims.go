package daemon

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/claim"
	"monsoonlever/dispatch"
	"monsoonlever/fleet"
	"monsoonlever/logstream"
	"monsoonlever/manifest"
)

// claims runs the keeper of claims from the first manifest on, which says how
// long keys are remembered and how long the log keeps a record.
type claims struct {
	keeper  *claim.Executor
	journal *logstream.Client
	once    sync.Once
	begun   chan struct{}
}

var _ dispatch.Claims = (*claims)(nil)

func newClaims(k *claim.Executor, j *logstream.Client) *claims {
	j.Subscribers = append(j.Subscribers, k)

	return &claims{keeper: k, journal: j, begun: make(chan struct{})}
}

// begin takes the settings of the first manifest; those of later ones take
// effect when an instance starts.
func (c *claims) begin(m *manifest.Manifest) {
	c.once.Do(func() {
		c.keeper.Config.Window = m.KeysRememberedFor()
		c.journal.Retention = m.LogRetention()

		if err := c.keeper.Config.Check(m.LogRetention()); err != nil {
			klog.ErrorS(err, "calls that may not be repeated are refused: the log keeps its records too short")

			return
		}

		close(c.begun)
	})
}

// run reads and writes claims until ctx ends.
func (c *claims) run(ctx context.Context) {
	select {
	case <-c.begun:
	case <-ctx.Done():
		return
	}

	var group conc.WaitGroup

	group.Go(func() { _ = c.journal.Run(ctx) })
	group.Go(func() { _ = c.keeper.Run(ctx) })
	group.Wait()
}

func (c *claims) hasBegun() bool {
	select {
	case <-c.begun:
		return true
	default:
		return false
	}
}

// ready tells whether the claims on the log were read.
func (c *claims) ready() bool {
	if !c.hasBegun() {
		return false
	}

	select {
	case <-c.journal.Ready():
		return true
	default:
		return false
	}
}

// healthy tells whether the log answers, as far as this instance has asked.
func (c *claims) healthy() bool {
	return c.hasBegun() && c.journal.Healthy()
}

func (c *claims) log() LogStatus {
	if !c.hasBegun() {
		return LogStatus{}
	}

	return LogStatus{Healthy: c.journal.Healthy(), ReadAgeSeconds: c.journal.ReadAge().Seconds()}
}

// Do runs a call at most once, or refuses it while claims cannot be made.
func (c *claims) Do(ctx context.Context, a claim.Attempt, send claim.Send) (claim.Verdict, error) {
	if !c.hasBegun() {
		return claim.Refused(claim.ReasonNotReady, claim.DefaultRetryAfter), nil
	}

	return c.keeper.Do(ctx, a, send)
}

// instanceGone says that an incarnation of an entry instance is no longer live.
func (c *claims) instanceGone(id fleet.InstanceID, incarnation fleet.Incarnation) {
	if c.hasBegun() {
		c.keeper.InstanceRemoved(id, incarnation)
	}
}
