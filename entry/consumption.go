package entry

import (
	"maps"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quota"
)

// consumptionMessage is the consumption that an instance which coordinates limits sends to the
// other coordinators. It may take several datagrams.
type consumptionMessage struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	// At is the sender's clock. Echo is the newest At of the receiver of which the sender has
	// received all parts.
	At   int64 `msgpack:"t"`
	Echo int64 `msgpack:"e"`
	// Part is the index of this message among Parts.
	Part        int                 `msgpack:"p"`
	Parts       int                 `msgpack:"k"`
	Consumption []quota.Consumption `msgpack:"s"`
}

// consumptionBytes is the encoded size of an account's consumption without its name.
const consumptionBytes = 36

// makeConsumption returns the messages with the consumption of this instance, without an echo.
func (p *components) makeConsumption(now time.Time) []consumptionMessage {
	batches := pack(p.limits.Consumption(now), func(s quota.Consumption) int { return consumptionBytes + len(s.Account) })
	if len(batches) == 0 {
		batches = [][]quota.Consumption{nil}
	}

	messages := make([]consumptionMessage, 0, len(batches))

	for i, batch := range batches {
		messages = append(messages, consumptionMessage{
			Instance: p.self(), Incarnation: p.duties.incarnation, At: now.UnixNano(),
			Part: i, Parts: len(batches), Consumption: batch,
		})
	}

	return messages
}

func withEcho(messages []consumptionMessage, echo int64) []consumptionMessage {
	echoed := make([]consumptionMessage, 0, len(messages))

	for _, m := range messages {
		m.Echo = echo
		echoed = append(echoed, m)
	}

	return echoed
}

// receiveConsumption records the consumption of another instance.
func (p *components) receiveConsumption(now time.Time, m consumptionMessage) {
	if m.Instance == p.self() {
		return
	}

	p.limits.Receive(now, m.Instance, m.Incarnation, m.Consumption)
	p.consumptionSeen.record(m)

	if m.Echo != 0 {
		p.limits.Acknowledged(time.Unix(0, m.Echo), m.Instance)
	}
}

// consumptionTracker records which messages of other instances have arrived with all their parts.
// The zero value is empty.
type consumptionTracker struct {
	mu       sync.Mutex
	partial  map[fleet.InstanceID]partialReport
	complete map[fleet.InstanceID]int64
}

type partialReport struct {
	at    int64
	parts map[int]bool
}

func (t *consumptionTracker) record(m consumptionMessage) {
	if m.Part < 0 || m.Part >= m.Parts {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.partial == nil {
		t.partial, t.complete = make(map[fleet.InstanceID]partialReport), make(map[fleet.InstanceID]int64)
	}

	report := t.partial[m.Instance]
	if report.parts == nil || report.at != m.At {
		report = partialReport{at: m.At, parts: make(map[int]bool)}
	}

	report.parts[m.Part] = true
	t.partial[m.Instance] = report

	if len(report.parts) == m.Parts {
		t.complete[m.Instance] = m.At
	}
}

// echoes returns, for each other instance, the time of its newest message of which all parts have
// arrived.
func (t *consumptionTracker) echoes() map[fleet.InstanceID]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(t.complete)
}
