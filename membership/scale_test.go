package membership

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"monsoonlever/fleet"
)

var partitionTime = flag.Duration("membership.split", 5*time.Minute, "how long TestScale partitions the regions")

const (
	scaleDomains = 5
	// The limits that TestScale asserts for each node in a fleet of any size.
	byteRateBound = 8 << 10
	cpuShareBound = 0.01
	heapBound     = 4 << 20
	updateBound   = 5 * time.Second
	lossBound     = 90 * time.Second
	healingBound  = 90 * time.Second
	steadyTime    = 2 * time.Minute
	// payloadPeriod is the time between payload changes of a node.
	payloadPeriod = 10 * time.Second
)

// scaleRow is one row of the result table.
type scaleRow struct {
	nodes     int
	phase     string
	sent      float64
	worstSent float64
	received  float64
	messages  float64
	cpu       time.Duration
	heap      float64
	delays    []time.Duration
	note      string
}

func (r scaleRow) String() string {
	spread := "-"
	if len(r.delays) > 0 {
		slices.Sort(r.delays)
		spread = fmt.Sprintf("%.2f/%.2f/%.2f", percentile(r.delays, 50).Seconds(), percentile(r.delays, 99).Seconds(), r.delays[len(r.delays)-1].Seconds())
	}

	return fmt.Sprintf("| %d | %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.0f | %s | %s |",
		r.nodes, r.phase, r.sent, r.worstSent, r.received, r.messages, float64(r.cpu.Microseconds())/1e4, r.heap/1024, spread, r.note)
}

func percentile(sorted []time.Duration, p int) time.Duration {
	return sorted[(len(sorted)-1)*p/100]
}

const scaleHeader = `| nodes | phase | sent B/s | worst node B/s | received B/s | messages/s | CPU, % of a core | heap KiB | seconds to all p50/p99/max | note |
| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |`

// phaseMeter measures the traffic, CPU time and heap of a phase of a simulation.
type phaseMeter struct {
	m        *simulation
	sent     []int64
	received []int64
	messages []int64
	cpu      time.Duration
	at       time.Time
}

func newMeter(m *simulation) *phaseMeter {
	p := &phaseMeter{m: m, cpu: processorTime(), at: m.now()}
	for _, n := range m.nodes {
		p.sent = append(p.sent, n.sent)
		p.received = append(p.received, n.received)
		p.messages = append(p.messages, n.messages)
	}

	return p
}

// row returns the rates per node since newMeter.
func (p *phaseMeter) row(phase string) scaleRow {
	row := scaleRow{nodes: len(p.m.nodes), phase: phase}
	seconds := p.m.now().Sub(p.at).Seconds()
	cpu := processorTime() - p.cpu
	size := float64(len(p.m.nodes))

	for i, n := range p.m.nodes {
		sent := float64(n.sent-p.sent[i]) / seconds
		row.worstSent = max(row.worstSent, sent)
		row.sent += sent / size
		row.received += float64(n.received-p.received[i]) / seconds / size
		row.messages += float64(n.messages-p.messages[i]) / seconds / size
	}

	row.cpu = time.Duration(float64(cpu) / seconds / size)
	row.heap = heapInUse() / size
	// The garbage collector must not free the simulation before its heap is
	// measured.
	runtime.KeepAlive(p)

	return row
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() float64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc)
}

// newFleet returns a simulation of size nodes that are not booted yet. A fleet of
// fewer than ten nodes has one region with four failure domains, a larger one two
// regions with five.
func newFleet(size int) *simulation {
	m := newSimulation(1)
	m.maxDelay = 2

	for i := range size {
		domain := i % scaleDomains
		region := domain / 3

		if size < 10 {
			domain, region = i%4, 0
		}

		m.add(fleet.Region(fmt.Sprintf("region-%d", region)), fleet.FailureDomain(fmt.Sprintf("domain-%d", domain)))
	}

	for i := range 6 {
		m.seeds = append(m.seeds, m.nodes[i].identity.Address)
	}

	return m
}

// TestScale measures the resource usage of a node and the propagation time of
// updates in fleets of 9 to 410 nodes, and asserts their limits.
func TestScale(t *testing.T) {
	sizes := []int{9, 50, 100, 200, 410}
	if raceEnabled || testing.Short() {
		sizes = []int{9, 50}
	}

	var table strings.Builder

	for _, size := range sizes {
		for _, row := range measureFleet(t, size) {
			fmt.Fprintln(&table, row)
		}
	}

	t.Logf("bytes count 138 a message for frame, TLS, TCP, IP and its acknowledgement; CPU and heap include the simulated network\n%s\n%s", scaleHeader, table.String())
}

func measureFleet(t *testing.T, size int) []scaleRow {
	t.Helper()

	m := newFleet(size)
	rows := []scaleRow{measureBoot(t, m), measureQuiet(t, m), measureSteady(t, m), measureLeaving(t, m), measurePayload(t, m), measureJoin(t, m), measureDomainLoss(t, m)}

	if size >= 10 {
		rows = append(rows, measurePartition(t, m)...)
	}

	return rows
}

func measureBoot(t *testing.T, m *simulation) scaleRow {
	t.Helper()

	p := newMeter(m)
	for _, n := range m.nodes {
		m.boot(n)
	}

	took, d := m.settle(3 * time.Minute)
	if d != "" {
		t.Errorf("%d nodes do not agree after all booted: %s", len(m.nodes), d)
	}

	row := p.row("all boot at the same time")
	row.note = fmt.Sprintf("agreed after %v", took)

	return row
}

func measureQuiet(t *testing.T, m *simulation) scaleRow {
	t.Helper()
	// Let the updates queued by the boot drain first.
	m.run(3 * time.Minute)

	p := newMeter(m)
	m.run(steadyTime)

	return checkRow(t, p.row("quiet"))
}

// measureSteady changes every node's payload each payloadPeriod, and crashes and
// restarts one node, which is about the daily restart rate scaled to two minutes.
func measureSteady(t *testing.T, m *simulation) scaleRow {
	t.Helper()
	m.crash(m.nodes[len(m.nodes)-1])

	p := newMeter(m)

	for second := range int(steadyTime / time.Second) {
		m.setDuePayloads(t, second)

		if second == 30 {
			m.boot(m.nodes[len(m.nodes)-1])
		}

		m.run(time.Second)
	}

	return checkRow(t, p.row("payloads change, one restart"))
}

// setDuePayloads sets the payload of the nodes that are due in the given second.
func (m *simulation) setDuePayloads(t *testing.T, second int, except ...*simulatedNode) {
	t.Helper()

	period := int(payloadPeriod / time.Second)
	for i, n := range m.nodes {
		if !n.running || slices.Contains(except, n) || (second+i)%period != 0 {
			continue
		}

		step, err := n.core.SetPayload(m.now(), fmt.Appendf(nil, "%064d", second), Routine)
		if err != nil {
			t.Fatal(err)
		}

		m.execute(n, step)
	}
}

// checkRow asserts the limits on traffic, CPU and heap.
func checkRow(t *testing.T, row scaleRow) scaleRow {
	t.Helper()

	if row.worstSent > byteRateBound || row.received > byteRateBound {
		t.Errorf("%d nodes, %s: got %.0f sent and %.0f received bytes a second, want at most %d", row.nodes, row.phase, row.worstSent, row.received, byteRateBound)
	}

	if got := row.cpu.Seconds(); got > cpuShareBound && !raceEnabled {
		t.Errorf("%d nodes, %s: got %.4f of a core, want at most %.4f", row.nodes, row.phase, got, cpuShareBound)
	}

	if row.heap > heapBound {
		t.Errorf("%d nodes, %s: got %.0f bytes of heap, want at most %d", row.nodes, row.phase, row.heap, heapBound)
	}

	return row
}

// measureLeaving measures the time until each node lists a member as leaving, for
// up to ten members that leave in sequence while payloads change.
func measureLeaving(t *testing.T, m *simulation) scaleRow {
	t.Helper()

	var spread []time.Duration

	p := newMeter(m)

	for i := range min(10, len(m.nodes)/3) {
		leaver := m.nodes[3*i]
		begun := m.now()
		m.onChange = func(_ *simulatedNode, c Change) {
			if c.After() != nil && c.After().ID() == leaver.identity.ID && c.After().Phase() == Leaving && c.Before().Phase() != Leaving {
				spread = append(spread, m.now().Sub(begun))
			}
		}
		m.execute(leaver, leaver.core.Leave(m.now()))

		for second := range 10 {
			m.setDuePayloads(t, second)
			m.run(time.Second)
		}

		if got, want := len(spread), (i+1)*len(m.nodes); got != want {
			t.Errorf("%d nodes: %d updates of leaving members received after 10 s, want %d", len(m.nodes), got, want)
		}
	}

	m.onChange = func(*simulatedNode, Change) {}
	row := p.row("a node announces that it leaves")
	row.delays = spread

	if got := slices.Max(spread); got > updateBound {
		t.Errorf("%d nodes: updates of leaving members took %v, want at most %v", len(m.nodes), got, updateBound)
	}

	return row
}

// measurePayload measures the time until each node has received an urgent payload,
// for ten of them, while routine payloads change.
func measurePayload(t *testing.T, m *simulation) scaleRow {
	t.Helper()

	var spread []time.Duration

	p := newMeter(m)

	for i := range 10 {
		sender := m.nodes[(7*i+1)%len(m.nodes)]
		begun := m.now()
		payload := fmt.Sprintf("reclaim %d", i)
		m.onChange = func(_ *simulatedNode, c Change) {
			if c.After() != nil && c.After().payload == payload && c.Before().payload != payload {
				spread = append(spread, m.now().Sub(begun))
			}
		}

		step, err := sender.core.SetPayload(m.now(), []byte(payload), Urgent)
		if err != nil {
			t.Fatal(err)
		}

		m.execute(sender, step)

		for second := range 10 {
			m.setDuePayloads(t, second, sender)
			m.run(time.Second)
		}
	}

	m.onChange = func(*simulatedNode, Change) {}
	row := p.row("an urgent payload")
	row.delays = spread
	row.note = fmt.Sprintf("%d of %d within 10 s", len(spread), 10*len(m.nodes))

	if got, want := float64(len(spread)), 0.999*float64(10*len(m.nodes)); got < want {
		t.Errorf("%d nodes: %.0f urgent payloads received after 10 s, want %.0f", len(m.nodes), got, want)
	}

	return row
}

// measureJoin restarts a node and measures the time until every other node has its
// new incarnation.
func measureJoin(t *testing.T, m *simulation) scaleRow {
	t.Helper()

	joiner := m.nodes[len(m.nodes)-1]
	m.crash(joiner)

	var (
		spread        []time.Duration
		completeAfter time.Duration
	)

	p := newMeter(m)
	begun := m.now()
	m.boot(joiner)
	m.onChange = func(n *simulatedNode, c Change) {
		if c.After() != nil && c.After().ID() == joiner.identity.ID && c.After().Incarnation() != c.Before().Incarnation() {
			spread = append(spread, m.now().Sub(begun))
		}

		if n == joiner && len(n.core.table.order) == len(m.nodes) && completeAfter == 0 {
			completeAfter = m.now().Sub(begun)
		}
	}

	m.run(time.Minute)
	m.onChange = func(*simulatedNode, Change) {}

	if got, want := len(spread), len(m.nodes)-1; got != want || completeAfter == 0 {
		t.Errorf("%d nodes: %d list the node that joined, want %d; its own list was complete after %v", len(m.nodes), got, want, completeAfter)
	}

	row := p.row("a node restarts")
	row.delays = spread
	row.note = fmt.Sprintf("its list is complete after %v", completeAfter)

	return row
}

// measureDomainLoss crashes all nodes of a failure domain and measures the time
// until every other node has them as dead.
func measureDomainLoss(t *testing.T, m *simulation) scaleRow {
	t.Helper()

	domain := m.nodes[1].identity.Domain
	lost := make(map[fleet.InstanceID]bool)

	for _, n := range m.nodes {
		if n.identity.Domain == domain {
			lost[n.identity.ID] = true
			m.crash(n)
		}
	}

	var (
		spread []time.Duration
		wrong  int
	)

	begun := m.now()
	m.onChange = func(_ *simulatedNode, c Change) {
		switch {
		case c.After() == nil || c.After().Status() != Dead:
		case lost[c.After().ID()]:
			spread = append(spread, m.now().Sub(begun))
		default:
			wrong++
		}
	}

	p := newMeter(m)
	m.ignorePayload = true
	took, d := m.settle(lossBound)
	m.onChange = func(*simulatedNode, Change) {}

	if d != "" || wrong > 0 {
		t.Errorf("%d nodes after the loss of a domain: %s, %d wrongly declared dead", len(m.nodes), d, wrong)
	}

	row := checkRow(t, p.row("a failure domain is lost"))
	row.delays = spread
	row.note = fmt.Sprintf("%d lost, agreed after %v", len(lost), took)

	for _, n := range m.nodes {
		if lost[n.identity.ID] {
			m.boot(n)
		}
	}

	if _, d := m.settle(3 * time.Minute); d != "" {
		t.Errorf("%d nodes after the domain restarted: %s", len(m.nodes), d)
	}

	return row
}

// measurePartition partitions the regions, restarts a node every two minutes
// meanwhile, which is about the daily rate, and then heals the partition.
func measurePartition(t *testing.T, m *simulation) []scaleRow {
	t.Helper()

	var dead, restarted int

	m.blocked = func(from, to *simulatedNode) bool { return from.identity.Region != to.identity.Region }
	m.onChange = func(n *simulatedNode, c Change) {
		if c.After() != nil && c.After().Status() == Dead && n.identity.Region != c.After().Region() {
			dead++
		}
	}

	p := newMeter(m)

	for second := range int(*partitionTime / time.Second) {
		if second%120 == 60 {
			m.boot(m.nodes[(second/120*7)%len(m.nodes)])

			restarted++
		}

		m.run(time.Second)
	}

	partitioned := checkRow(t, p.row("the regions are partitioned"))
	partitioned.note = fmt.Sprintf("%v, %d restarts, %d declared dead from another region", *partitionTime, restarted, dead)

	if dead > 0 {
		t.Errorf("%d nodes: %d members declared dead from another region, want 0", len(m.nodes), dead)
	}

	m.blocked = func(_, _ *simulatedNode) bool { return false }
	m.onChange = func(*simulatedNode, Change) {}
	p = newMeter(m)

	took, d := m.settle(healingBound)
	if d != "" {
		t.Errorf("%d nodes after the partition healed: %s", len(m.nodes), d)
	}

	healed := checkRow(t, p.row("the partition is healed"))
	healed.note = fmt.Sprintf("agreed after %v", took)

	return []scaleRow{partitioned, healed}
}
