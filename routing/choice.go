package routing

import (
	"time"

	"monsoonlever/fleet"
)

// Choice is the server picked for one request. The caller reports the start and the
// outcome of the request through its methods.
type Choice struct {
	server   *server
	table    *Table
	address  string
	domain   fleet.FailureDomain
	prefix   uint64
	probe    bool
	byPrefix bool
}

// ID returns the id of the picked instance.
func (c Choice) ID() fleet.InstanceID { return c.server.id }

// Address returns the address of the picked server.
func (c Choice) Address() string { return c.address }

// Domain returns the failure domain of the picked server.
func (c Choice) Domain() fleet.FailureDomain { return c.domain }

// Probe reports whether the request probes an ejected server.
func (c Choice) Probe() bool { return c.probe }

// ByPrefix reports whether the server was picked because it may have the prompt prefix
// of the request cached.
func (c Choice) ByPrefix() bool { return c.byPrefix }

// Leaving reports whether the picked server is known to be leaving, also when this
// became known only after the pick.
func (c Choice) Leaving() bool { return c.server.leaving.Load() }

// Begin counts the request as in flight. It is called right before the attempt, dialing
// included. If it returns true, exactly one call of Done or Failed must follow. It
// returns false, and counts nothing, if the server began to leave after it was picked;
// the request must not be sent to it then.
func (c Choice) Begin(now time.Time) bool {
	if !c.server.begin(now) {
		return false
	}

	if c.prefix != 0 {
		c.table.prefixes.add(now, c.prefix, c.server)
	}

	return true
}

// Done ends a request that was answered. The latency is recorded per token if the
// answer has tokens.
func (c Choice) Done(now time.Time, latency time.Duration, tokens int) {
	c.server.end(now)
	c.server.dialFailed.Store(false)

	perToken := latency / time.Duration(max(1, tokens))

	if c.probe {
		c.server.pendingOutcomes.probeLatency.Store(int64(perToken))
		c.server.pendingOutcomes.probeSucceeded.Add(1)

		return
	}

	c.server.pendingOutcomes.latencySum.Add(int64(perToken))
	c.server.pendingOutcomes.succeeded.Add(1)
}

// Failed ends a request that failed after Begin. A cancelled request doesn't affect the
// health of the server.
func (c Choice) Failed(now time.Time, kind Failure) {
	c.server.end(now)

	if kind == FailCancelled {
		return
	}

	if kind == FailDial {
		c.server.dialFailed.Store(true)
	}

	if c.probe {
		c.server.pendingOutcomes.probeFailed.Add(1)

		return
	}

	c.server.pendingOutcomes.failed.Add(1)
}
