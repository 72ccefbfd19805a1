package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// queueModel drives one controller with random operations.
type queueModel struct {
	c       *Controller
	now     time.Time
	config  ServiceConfig
	waiting []*Ticket
	running []*Ticket
	refused []*Ticket
}

func newQueueModel(t *rapid.T) *queueModel {
	config := testConfig(rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 12).Draw(t, "queue"))
	config.Services[0].QueueBytes = int64(rapid.IntRange(100, 1000).Draw(t, "bytes"))

	for i := range 4 {
		config.Accounts = append(config.Accounts, AccountConfig{Account: accountName(i), Weight: float64(i + 1)})
	}

	return &queueModel{c: newController(t, config), now: start, config: config.Services[0]}
}

func accountName(i int) fleet.Account {
	return fleet.Account(fmt.Sprintf("wholesale-%d", i))
}

func (m *queueModel) arrive(t *rapid.T) {
	r := Request{
		Service:  testService,
		Account:  accountName(rapid.IntRange(0, 3).Draw(t, "account")),
		Kind:     testKind,
		Priority: fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Bytes:    int64(rapid.IntRange(0, 400).Draw(t, "size")),
	}

	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	}

	m.waiting = append(m.waiting, m.c.Admit(m.now, r))
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}

	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	took := time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond
	m.c.Finish(m.now, m.running[i], Outcome{Latency: took, Duration: took})
	m.running = append(m.running[:i], m.running[i+1:]...)
}

func (m *queueModel) abandon(t *rapid.T) {
	if len(m.waiting) > 0 {
		m.c.Abandon(m.now, m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "abandoned")])
	}
}

func (m *queueModel) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1, 2:
		m.arrive(t)
	case 3:
		m.finish(t)
	case 4:
		m.abandon(t)
	default:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pass")) * time.Millisecond)
	}

	m.c.Tick(m.now)
	m.collectDecided()
}

// collectDecided moves decided tickets from waiting to running or refused.
func (m *queueModel) collectDecided() {
	var waiting []*Ticket

	for _, ticket := range m.waiting {
		d, final := ticket.Decision()

		switch {
		case !final:
			waiting = append(waiting, ticket)
		case d.Verdict == Admitted:
			m.running = append(m.running, ticket)
		default:
			m.refused = append(m.refused, ticket)
		}
	}

	m.waiting = waiting
}

func TestHoldsQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)

		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := len(m.refused)
			m.step(t)

			var queuedBytes int64
			lowest := fleet.Priority(3)

			for _, ticket := range m.waiting {
				queuedBytes += ticket.request.Bytes
				lowest = min(lowest, ticket.request.Priority)
			}

			if got, want := len(m.waiting), m.config.QueueRequests; got > want {
				t.Fatalf("queued requests: got %d, want at most %d", got, want)
			}

			if got, want := queuedBytes, m.config.QueueBytes; got > want {
				t.Fatalf("queued bytes: got %d, want at most %d", got, want)
			}

			if got, want := len(m.running), m.config.MaxConcurrent; got > want {
				t.Fatalf("running: got %d, want at most %d", got, want)
			}

			for _, ticket := range m.refused[before:] {
				if ticket.decision.Reason == QueueFull && ticket.request.Priority > lowest &&
					ticket.request.Bytes <= m.config.QueueBytes {
					t.Fatalf("shed priority %d while priority %d stays queued", ticket.request.Priority, lowest)
				}
			}
		}
	})
}

func TestHoldsInfeasibleRequestsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		s := m.c.table.Load().services[testService]

		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := len(m.refused)
			m.step(t)

			for _, ticket := range m.waiting {
				if ticket.latestStart.IsZero() {
					continue
				}

				earliestStart := m.now.Add(s.limiter.drainTime(s.queue.ahead(ticket)))
				if !earliestStart.Before(ticket.latestStart) {
					t.Fatalf("request is not refused: earliest start %v, latest useful start %v",
						earliestStart.Sub(start), ticket.latestStart.Sub(start))
				}
			}

			for _, ticket := range m.refused[before:] {
				if got := ticket.arrivedAt.Add(ticket.decision.Waited); got.After(m.now) {
					t.Fatalf("decision time: got %v, want at most %v", got, m.now)
				}

				if ticket.decision.RetryAfter <= 0 {
					t.Fatalf("refused without a retry delay: %+v", ticket.decision)
				}
			}
		}
	})
}

// fairModel counts how many requests of each account start while another account waits.
type fairModel struct {
	*queueModel
	weights []float64
	// starts[small][other] counts the starts of other since small has had requests queued
	// without interruption.
	starts [][]float64
}

func (m *fairModel) index(t *Ticket) int {
	for i := range m.weights {
		if accountName(i) == t.request.Account {
			return i
		}
	}

	return -1
}

func (m *fairModel) waitingByAccount() []int {
	counts := make([]int, len(m.weights))
	for _, ticket := range m.waiting {
		counts[m.index(ticket)]++
	}

	return counts
}

func (m *fairModel) check(t *rapid.T, waited []int, started []*Ticket) {
	for small := range m.weights {
		if waited[small] == 0 {
			clear(m.starts[small])

			continue
		}

		for _, ticket := range started {
			m.starts[small][m.index(ticket)]++
		}

		for other := range m.weights {
			got := m.starts[small][small] / m.weights[small]
			slack := 1/m.weights[small] + 1/m.weights[other]

			if want := m.starts[small][other]/m.weights[other] - slack; got < want-1e-9 {
				t.Fatalf("weighted starts of account %d: got %.2f, want at least %.2f, compared with account %d",
					small, got, want, other)
			}
		}
	}
}

func TestHoldsFairShareOfSmallAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		config := testConfig(slots, rapid.IntRange(accounts, 20).Draw(t, "queue"))
		m := &fairModel{}

		for i := range accounts {
			weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			config.Accounts = append(config.Accounts, AccountConfig{Account: accountName(i), Weight: weight})
			m.weights = append(m.weights, weight)
			m.starts = append(m.starts, make([]float64, accounts))
		}

		m.queueModel = &queueModel{c: newController(t, config), now: start, config: config.Services[0]}

		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			waiting := m.waitingByAccount()
			before := len(m.running)

			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				before = max(before-1, 0)
				m.finish(t)
			} else {
				// Most requests are of account 0, the large account.
				account := max(0, rapid.IntRange(-4, accounts-1).Draw(t, "account"))
				m.waiting = append(m.waiting, m.c.Admit(m.now, Request{
					Service: testService, Account: accountName(account), Kind: testKind,
				}))
			}

			m.now = m.now.Add(time.Millisecond)
			refused := len(m.refused)
			m.collectDecided()
			m.check(t, waiting, m.running[before:])

			for _, ticket := range m.refused[refused:] {
				i := m.index(ticket)
				if got, fair := waiting[i], m.config.QueueRequests/accounts; i > 0 && m.weights[i] >= m.weights[0] && got < fair-1 {
					t.Fatalf("account %d was refused with %d requests queued, within its fair share of %d", i, got, fair)
				}
			}
		}
	})
}
