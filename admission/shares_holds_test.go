package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

const (
	modelStep              = 100 * time.Millisecond
	modelPropagationDelay  = time.Second
	modelMemberTimeout     = 5 * time.Second
	modelMaxSkew           = 50 * time.Millisecond
	modelRequestsPerSecond = 100

	otherAccount = fleet.Account("wholesale-2")
)

// modelMember is one entry instance of the model.
type modelMember struct {
	c           *Controller
	id          fleet.InstanceID
	skew        time.Duration
	crashed     bool
	pausedUntil time.Time
	partition   int
	lastSent    []time.Time
}

// message is a digest or, if join is set, the notification that a member joined.
type message struct {
	deliverAt time.Time
	from, to  int
	digest    Demand
	join      bool
}

// shareModel is a set of entry instances whose digests are delayed, lost, duplicated and reordered.
type shareModel struct {
	now         time.Time
	members     []*modelMember
	messages    []message
	partitioned bool
}

func (m *shareModel) addMember(t *rapid.T) {
	i := len(m.members)
	skew := time.Duration(rapid.Int64Range(-int64(modelMaxSkew), int64(modelMaxSkew)).Draw(t, "skew"))
	c := &Controller{
		Instance: fleet.InstanceID(rune('a' + i)),
		// A digest has room for one of the two accounts.
		Sharing: Sharing{PropagationDelay: modelPropagationDelay, MemberTimeout: modelMemberTimeout, DigestAccounts: 1},
	}
	config := testConfig(1000, 1,
		AccountConfig{Account: testAccount, RequestsPerSecond: modelRequestsPerSecond},
		AccountConfig{Account: otherAccount, RequestsPerSecond: modelRequestsPerSecond})

	if err := c.Configure(m.now.Add(skew), config); err != nil {
		t.Fatalf("configure: %v", err)
	}

	member := &modelMember{c: c, id: c.Instance, skew: skew, partition: rapid.IntRange(0, 1).Draw(t, "partition")}
	m.members = append(m.members, member)

	for j := range m.members {
		for _, other := range []int{i, j} {
			m.members[other].lastSent = append(m.members[other].lastSent, m.now)
		}

		if j != i {
			delay := time.Duration(rapid.IntRange(0, 8).Draw(t, "joinDelay")) * modelStep
			m.messages = append(m.messages,
				message{deliverAt: m.now.Add(delay), from: i, to: j, join: true},
				message{deliverAt: m.now, from: j, to: i, join: true})
		}
	}
}

func (m *shareModel) offerLoad(t *rapid.T) {
	for _, member := range m.members {
		now := m.now.Add(member.skew)

		for _, account := range []fleet.Account{testAccount, otherAccount} {
			r := testRequest()
			r.Account = account

			for range rapid.IntRange(0, 12).Draw(t, "offered") {
				member.c.Finish(now, member.c.Admit(now, r), Outcome{})
			}
		}
	}
}

func (m *shareModel) publish(t *rapid.T) {
	for i, member := range m.members {
		if member.crashed || m.now.Before(member.pausedUntil) || rapid.IntRange(0, 2).Draw(t, "publishes") > 0 {
			continue
		}

		digest := member.c.PublishDemand(m.now.Add(member.skew))

		for j := range m.members {
			m.send(t, i, j, digest)
		}
	}
}

func (m *shareModel) send(t *rapid.T, from, to int, digest Demand) {
	if from == to || (m.partitioned && m.members[from].partition != m.members[to].partition) {
		return
	}

	lastSent := &m.members[from].lastSent[to]
	delay := time.Duration(rapid.IntRange(0, 15).Draw(t, "delay")) * modelStep

	// Losses do not last longer than half the member timeout: a longer one is a partition, which
	// is drawn separately.
	if m.now.Sub(*lastSent) < modelMemberTimeout/2 && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}

	*lastSent = m.now
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		m.messages = append(m.messages, message{deliverAt: m.now.Add(delay), from: from, to: to, digest: digest})
	}
}

func (m *shareModel) deliver() {
	var kept []message

	for _, msg := range m.messages {
		if msg.deliverAt.After(m.now) {
			kept = append(kept, msg)

			continue
		}

		to, from := m.members[msg.to], m.members[msg.from]

		switch {
		case to.crashed:
		case msg.join:
			to.c.AddMember(m.now.Add(to.skew), from.id)
		default:
			to.c.ApplyDemand(m.now.Add(to.skew), from.id, msg.digest)
		}
	}

	m.messages = kept
}

func (m *shareModel) injectFault(t *rapid.T) {
	member := m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "faultyMember")]

	switch rapid.IntRange(0, 30).Draw(t, "fault") {
	case 0:
		member.crashed = true
	case 1, 2:
		member.pausedUntil = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * modelStep)
	case 3:
		if len(m.members) < 8 {
			m.addMember(t)
		}
	}
}

// maxTotalShare returns the fraction of a limit that all running instances hold together, for the
// account of which they hold the most.
func (m *shareModel) maxTotalShare() float64 {
	var first, second float64

	for _, member := range m.members {
		if member.crashed {
			continue
		}

		if !m.now.Before(member.pausedUntil) {
			member.c.Rebalance(m.now.Add(member.skew))
		}

		first += member.c.Share(testAccount)
		second += member.c.Share(otherAccount)
	}

	return max(first, second)
}

func (m *shareModel) step(t *rapid.T) {
	m.now = m.now.Add(modelStep)
	m.deliver()
	m.offerLoad(t)
	m.publish(t)
}

func TestHoldsAccountLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &shareModel{now: start}
		for range rapid.IntRange(1, 5).Draw(t, "members") {
			m.addMember(t)
		}

		partitionAt := -1
		if rapid.Bool().Draw(t, "isPartitioned") {
			partitionAt = rapid.IntRange(20, 40).Draw(t, "partitionAt")
		}

		want := 1.0

		for i := range 160 {
			// While the members of the other side time out one by one, each side may see a majority
			// and use the whole limit. After that, a minority counts the silent members again.
			if i == partitionAt {
				m.partitioned, want = true, 2
			}

			if m.partitioned && i == partitionAt+int(2*modelMemberTimeout/modelStep) {
				want = 1.5
			}

			m.step(t)

			if !m.partitioned {
				m.injectFault(t)
			}

			if got := m.maxTotalShare(); got > want+1e-6 {
				t.Fatalf("after %v the instances hold %.3f of the limit, want at most %.1f", m.now.Sub(start), got, want)
			}
		}
	})
}
