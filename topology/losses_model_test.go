package topology

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
)

// crashingRequest is the request that ends each server which begins it, and propagationLimit the time in
// which operators want all instances to know.
const (
	// crashingRequest terminates each server that begins it.
	crashingRequest = quarantine.Fingerprint(1)
	// propagationLimit is the time within which all instances have to quarantine the request.
	propagationLimit = time.Second
)

// lossModel is a fleet whose instances send each other updates of servers that crashed.
type lossModel struct {
	*model
	ledgers    []*quarantine.Ledger
	nextSendAt []time.Time
	// crashedAt is when each server crashed under crashingRequest.
	crashedAt []time.Time
}

func newLossModel(n, domains int) *lossModel {
	m := &lossModel{model: newModel(n, domains)}
	for range n {
		m.ledgers = append(m.ledgers, &quarantine.Ledger{})
		m.nextSendAt = append(m.nextSendAt, begin)
	}

	return m
}

// step simulates one tick of the fleet and sends pending updates.
func (m *lossModel) step() {
	m.run(tick)

	for i, node := range m.nodes {
		if node.dead || m.now.Before(m.nextSendAt[i]) {
			continue
		}

		update := m.ledgers[i].PendingLosses(m.now)
		if len(update) == 0 {
			continue
		}

		peers := node.plan.Peers()
		for _, peer := range peers {
			m.send(node, peer.ID, func(to *modelNode) {
				m.ledgers[m.index[to.member.ID]].Merge(m.now, update, to.plan.Relay && !to.plan.FullMesh)
			})
		}

		m.nextSendAt[i] = m.now.Add(max(updateInterval, time.Duration(len(peers))*updateIntervalPerPeer))
	}
}

// receiveRequest has an instance receive crashingRequest and send it to a server unless the
// request is quarantined.
func (m *lossModel) receiveRequest(i int) {
	if _, held := m.ledgers[i].Quarantined(m.now, crashingRequest); held || m.nodes[i].dead {
		return
	}

	server := register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", len(m.crashedAt)))}
	m.crashedAt = append(m.crashedAt, m.now)
	m.ledgers[i].RecordLoss(m.now, crashingRequest, server, quarantine.Strong)
}

// lateSends returns how often the request was sent later than propagationLimit after the third
// server had crashed under it.
func (m *lossModel) lateSends() int {
	n := 0

	for _, at := range m.crashedAt {
		if len(m.crashedAt) >= 3 && at.Sub(m.crashedAt[2]) > propagationLimit {
			n++
		}
	}

	return n
}

// A request that crashes its servers may arrive at any instance. Once it has crashed three
// servers, all instances quarantine it within a second at any fleet size, with 2 % of the
// messages lost.
func TestCrashingRequestIsKnownEverywhere(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{9, 4}, {80, 4}, {195, 6}, {410, 5}} {
		for seed := range 5 {
			m := newLossModel(size.instances, size.domains)
			for range 100 + seed {
				m.step()
			}

			for range 3 {
				m.receiveRequest(m.random.IntN(size.instances))
				m.step()
			}

			thirdCrashAt := m.now
			for m.countQuarantining(crashingRequest) < size.instances && m.now.Sub(thirdCrashAt) < 5*time.Second {
				m.step()
			}

			if seed == 0 {
				t.Logf("%d instances: all quarantine after %v", size.instances, m.now.Sub(thirdCrashAt))
			}

			if got := m.now.Sub(thirdCrashAt); got > propagationLimit {
				t.Errorf("%d instances, seed %d: got %v until all quarantine, want at most %v", size.instances, seed, got, propagationLimit)
			}
		}
	}
}

// countQuarantining returns how many instances quarantine a request.
func (m *lossModel) countQuarantining(f quarantine.Fingerprint) int {
	n := 0

	for _, l := range m.ledgers {
		if _, held := l.Quarantined(m.now, f); held {
			n++
		}
	}

	return n
}

// A failure domain with its relays is lost while a request that crashes its servers arrives ten
// times a second. Later than a second after the third crash, at most three more sends reach
// servers.
func TestCrashingRequestStaysQuarantinedDuringRelayLoss(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{9, 4}, {80, 4}, {195, 6}} {
		m := newLossModel(size.instances, size.domains)
		for range 100 {
			m.step()
		}

		for i := range 800 {
			if i%10 == 0 {
				m.receiveRequest(m.random.IntN(size.instances))
			}

			if i == 15 {
				for _, node := range m.nodes {
					node.dead = node.member.Domain == m.members[0].Domain
				}
			}

			m.step()
		}

		t.Logf("%d instances: %d servers crashed, %d later than %v", size.instances, len(m.crashedAt), m.lateSends(), propagationLimit)

		if got := m.lateSends(); got > 3 {
			t.Errorf("%d instances: got %d late sends, want at most 3", size.instances, got)
		}
	}
}
