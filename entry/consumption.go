package entry

import (
	"maps"
	"slices"
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
	// At is the sender's time as one of its stamps. Echo is the newest At of the receiver of which the
	// sender has received all parts.
	At   int64 `msgpack:"t"`
	Echo int64 `msgpack:"e"`
	// Part is the index of this message among Parts.
	Part        int                 `msgpack:"p"`
	Parts       int                 `msgpack:"k"`
	Consumption []quota.Consumption `msgpack:"s"`
	// RecordAge is the age of the sender's newest durable record of the consumption of all instances;
	// zero is none.
	RecordAge time.Duration `msgpack:"g,omitempty"`
	// Silent are the coordinators that the sender does not hear from. The receiver adds what it
	// knows of their consumption to its own messages to the sender, as Relayed.
	Silent  []fleet.InstanceID         `msgpack:"w,omitempty"`
	Relayed []quota.RelayedConsumption `msgpack:"r,omitempty"`
}

const (
	// consumptionBytes is the encoded size of an account's consumption without its name.
	consumptionBytes = 36
	// relayedBytes is the encoded size of relayed consumption without the names of the account
	// and the instance.
	relayedBytes = consumptionBytes + 12
)

// makeConsumption returns the messages with the consumption of this instance, without an echo
// and without relayed consumption.
func (p *components) makeConsumption(now time.Time) []consumptionMessage {
	batches := pack(p.limits.Consumption(now), func(s quota.Consumption) int { return consumptionBytes + len(s.Account) })
	if len(batches) == 0 {
		batches = [][]quota.Consumption{nil}
	}

	messages := make([]consumptionMessage, 0, len(batches))

	silent, recordAge := p.limits.SilentCoordinators(now), p.ownRecordAge(now)

	for _, batch := range batches {
		messages = append(messages, consumptionMessage{
			Instance: p.self(), Incarnation: p.duties.incarnation, At: p.stamps.at(now), Consumption: batch, Silent: silent,
			RecordAge: recordAge,
		})
	}

	return numberParts(messages)
}

// answer returns the messages for an instance: with the echo of its newest message, and with what
// is known here of the coordinators that it does not hear from.
func (p *components) answer(now time.Time, messages []consumptionMessage, newest receivedConsumption) []consumptionMessage {
	answer := slices.Clone(messages)
	template := messages[0]
	template.Consumption = nil

	for _, batch := range pack(p.limits.RelayConsumption(now, newest.silent), relayedSize) {
		template.Relayed = batch
		answer = append(answer, template)
	}

	for i := range answer {
		answer[i].Echo = newest.at
	}

	return numberParts(answer)
}

func relayedSize(r quota.RelayedConsumption) int {
	return relayedBytes + len(r.Instance) + len(r.Consumption.Account)
}

func numberParts(messages []consumptionMessage) []consumptionMessage {
	for i := range messages {
		messages[i].Part, messages[i].Parts = i, len(messages)
	}

	return messages
}

// receiveConsumption records the consumption of another instance. Its acknowledgment counts once
// all parts have arrived, since any of them may carry relayed consumption.
func (p *components) receiveConsumption(now time.Time, m consumptionMessage) {
	if m.Instance == p.self() {
		return
	}

	p.limits.Receive(now, m.Instance, m.Incarnation, m.Consumption)
	p.limits.ReceiveRelayed(now, m.Relayed)

	if !p.consumptionSeen.record(m) {
		return
	}

	echo, ok := p.echoedAt(now, m.Instance, m.Echo)
	if !ok {
		return
	}

	p.limits.Acknowledged(echo, m.Instance)

	if m.RecordAge > 0 {
		p.limits.Recorded(echo.Add(-m.RecordAge))
	}
}

// consumptionTracker records which messages of other instances have arrived with all their parts.
// The zero value is empty.
type consumptionTracker struct {
	mu       sync.Mutex
	partial  map[fleet.InstanceID]partialReport
	complete map[fleet.InstanceID]receivedConsumption
}

// receivedConsumption is the time of a message of which all parts have arrived, and the
// coordinators that its sender does not hear from.
type receivedConsumption struct {
	at     int64
	silent []fleet.InstanceID
}

type partialReport struct {
	at    int64
	parts map[int]bool
}

// record reports whether all parts of the message have arrived.
func (t *consumptionTracker) record(m consumptionMessage) bool {
	if m.Part < 0 || m.Part >= m.Parts {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.partial == nil {
		t.partial, t.complete = make(map[fleet.InstanceID]partialReport), make(map[fleet.InstanceID]receivedConsumption)
	}

	report := t.partial[m.Instance]
	if report.parts == nil || report.at != m.At {
		report = partialReport{at: m.At, parts: make(map[int]bool)}
	}

	report.parts[m.Part] = true
	t.partial[m.Instance] = report

	if len(report.parts) < m.Parts {
		return false
	}

	t.complete[m.Instance] = receivedConsumption{at: m.At, silent: m.Silent}

	return true
}

// newest returns the newest message of each other instance of which all parts have arrived.
func (t *consumptionTracker) newest() map[fleet.InstanceID]receivedConsumption {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(t.complete)
}
