package topology

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
)

// harmful is the request that ends each server which begins it, and contact the time in
// which operators want all instances to know.
const (
	harmful = quarantine.Fingerprint(1)
	contact = time.Second
)

// lossModel is a fleet whose instances tell each other of servers that ended.
type lossModel struct {
	*model
	ledgers []*quarantine.Ledger
	tellAt  []time.Time
	// ended is when each server ended under the harmful request.
	ended []time.Time
}

func newLossModel(n, domains int) *lossModel {
	m := &lossModel{model: newModel(n, domains)}
	for range n {
		m.ledgers = append(m.ledgers, &quarantine.Ledger{})
		m.tellAt = append(m.tellAt, begin)
	}

	return m
}

// step plays one step of the fleet, and tells what is to be told.
func (m *lossModel) step() {
	m.run(tick)

	for i, node := range m.nodes {
		if node.dead || m.now.Before(m.tellAt[i]) {
			continue
		}

		news := m.ledgers[i].PendingLosses(m.now)
		if len(news) == 0 {
			continue
		}

		peers := node.plan.Peers()
		for _, peer := range peers {
			m.send(node, peer.ID, func(to *modelNode) {
				m.ledgers[m.index[to.member.ID]].Merge(m.now, news, to.plan.Relay && !to.plan.FullMesh)
			})
		}

		m.tellAt[i] = m.now.Add(max(newsEvery, time.Duration(len(peers))*newsPeer))
	}
}

// arrive lets the harmful request come to an instance.
func (m *lossModel) arrive(i int) {
	if _, held := m.ledgers[i].Quarantined(m.now, harmful); held || m.nodes[i].dead {
		return
	}

	server := register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", len(m.ended)))}
	m.ended = append(m.ended, m.now)
	m.ledgers[i].RecordLoss(m.now, harmful, server, quarantine.Strong)
}

// sentAfter returns how often the request was sent on later than contact after the third
// server had ended under it.
func (m *lossModel) sentAfter() int {
	n := 0

	for _, at := range m.ended {
		if len(m.ended) >= 3 && at.Sub(m.ended[2]) > contact {
			n++
		}
	}

	return n
}

// A request that ends its servers may come at any instance, however many they are: once it
// has ended three, all know within a second, with two in a hundred messages lost.
func TestAllKnowARequestThatEndsItsServers(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{9, 4}, {80, 4}, {195, 6}, {410, 5}} {
		for seed := range 5 {
			m := newLossModel(size.instances, size.domains)
			for range 100 + seed {
				m.step()
			}

			for range 3 {
				m.arrive(m.random.IntN(size.instances))
				m.step()
			}

			third := m.now
			for m.count(harmful) < size.instances && m.now.Sub(third) < 5*time.Second {
				m.step()
			}

			if seed == 0 {
				t.Logf("%d instances: all know after %v", size.instances, m.now.Sub(third))
			}

			if got := m.now.Sub(third); got > contact {
				t.Errorf("%d instances, seed %d: got %v until all know, want at most %v", size.instances, seed, got, contact)
			}
		}
	}
}

// count returns how many instances hold a request off.
func (m *lossModel) count(f quarantine.Fingerprint) int {
	n := 0

	for _, l := range m.ledgers {
		if _, held := l.Quarantined(m.now, f); held {
			n++
		}
	}

	return n
}

// While instances, and a whole failure domain with its relays, are lost, a request that
// comes ten times a second reaches servers at most three times once it has ended three and
// a second has passed.
func TestARequestIsHeldOffWhileRelaysAreLost(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{9, 4}, {80, 4}, {195, 6}} {
		m := newLossModel(size.instances, size.domains)
		for range 100 {
			m.step()
		}

		for i := range 800 {
			if i%10 == 0 {
				m.arrive(m.random.IntN(size.instances))
			}

			if i == 15 {
				for _, node := range m.nodes {
					node.dead = node.member.Domain == m.members[0].Domain
				}
			}

			m.step()
		}

		t.Logf("%d instances: %d servers ended, %d later than %v", size.instances, len(m.ended), m.sentAfter(), contact)

		if got := m.sentAfter(); got > 3 {
			t.Errorf("%d instances: got %d sends, want at most 3", size.instances, got)
		}
	}
}
