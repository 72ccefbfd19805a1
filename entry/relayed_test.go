package entry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quota"
)

// A coordinator that hears from one other receives, in messages of one datagram each, what that
// one knows of the consumption of all others.
func TestHoldsRelayedConsumptionToDatagramSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		suffix := strings.Repeat("x", rapid.IntRange(0, 45).Draw(t, "suffix of names"))
		ids := []fleet.InstanceID{"edge-ballerup-a-12"}

		for _, name := range []string{"edge-ballerup-b-1", "edge-taastrup-1-1", "edge-taastrup-2-1", "edge-hvidovre-1-1"} {
			ids = append(ids, fleet.InstanceID(name+suffix))
		}

		accounts := rapid.IntRange(0, 150).Draw(t, "accounts")
		clk := clock.NewManual(time.Unix(1_790_000_000, 0))
		p := newLargeComponents(clk, accounts, 0)
		p.limits.SetCoordinators(clk.Now(), ids)

		for _, id := range ids[2:] {
			p.limits.Receive(clk.Now(), id, fleet.Incarnation(clk.Now().UnixNano()), p.limits.Consumption(clk.Now()))
		}

		p.consumptionSeen.record(consumptionMessage{Instance: ids[1], At: clk.Now().UnixNano(), Parts: 1, Silent: ids[2:]})

		heartbeats, err := p.makeHeartbeats(clk.Now())(ids[1])
		if err != nil {
			t.Fatalf("heartbeats: got %v, want some", err)
		}

		relayed := 0
		parts := make(map[int]bool)

		for _, data := range heartbeats {
			d := decodeMessage(t, data)
			if d.Consumption == nil {
				continue
			}

			relayed += len(d.Consumption.Relayed)
			parts[d.Consumption.Part] = true

			if got, want := d.Consumption.Silent, slices.Sorted(slices.Values(ids[1:])); !slices.Equal(got, want) {
				t.Errorf("silent coordinators: got %v, want %v", got, want)
			}

			if got, want := d.Consumption.Echo, clk.Now().UnixNano(); got != want {
				t.Errorf("echo: got %d, want %d", got, want)
			}

			if got, most := d.Consumption.Part, d.Consumption.Parts-1; got > most {
				t.Errorf("part: got %d, want at most %d", got, most)
			}
		}

		if want := 3 * accounts; relayed != want {
			t.Errorf("relayed consumption: got %d, want %d", relayed, want)
		}

		if len(parts) == 0 || !parts[len(parts)-1] {
			t.Errorf("parts: got %v, want all from the first on", parts)
		}
	})
}

// An acknowledgment may only count with the relayed consumption that belongs to it, which another
// datagram may carry.
func TestAcknowledgmentRequiresAllParts(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	p := newLargeComponents(clk, 1, 0)
	p.limits.SetCoordinators(clk.Now(), []fleet.InstanceID{"edge-ballerup-a-12", "edge-2", "edge-3"})

	silent := func() []fleet.InstanceID { return p.limits.SilentCoordinators(clk.Now()) }
	part := consumptionMessage{Instance: "edge-2", Incarnation: 1, At: 1, Echo: clk.Now().UnixNano(), Parts: 2}
	p.receiveConsumption(clk.Now(), part)

	if got, want := silent(), []fleet.InstanceID{"edge-2", "edge-3"}; !slices.Equal(got, want) {
		t.Errorf("silent after one of two parts: got %v, want %v", got, want)
	}

	part.Part = 1
	part.Relayed = []quota.RelayedConsumption{{Instance: "edge-3", Incarnation: 1, Consumption: quota.Consumption{Account: "wholesaler-0", Total: 5, Recent: 5}}}
	p.receiveConsumption(clk.Now(), part)

	if got, want := silent(), []fleet.InstanceID{"edge-3"}; !slices.Equal(got, want) {
		t.Errorf("silent after both parts: got %v, want %v", got, want)
	}

	if got := p.limits.RelayConsumption(clk.Now(), []fleet.InstanceID{"edge-3"}); len(got) != 1 || got[0].Consumption.Total != 5 {
		t.Errorf("relayed consumption: got %v, want a total of 5", got)
	}
}

// Without a silent coordinator, messages are those of earlier versions.
func TestConsumptionOfConnectedCoordinatorsIsUnchanged(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	p := newLargeComponents(clk, 1, 0)
	p.limits.SetCoordinators(clk.Now(), []fleet.InstanceID{"edge-ballerup-a-12", "edge-2"})
	p.limits.Acknowledged(clk.Now(), "edge-2")

	data, err := msgpack.Marshal(p.answer(clk.Now(), p.makeConsumption(clk.Now()), receivedConsumption{at: 1}))
	if err != nil {
		t.Fatal(err)
	}

	var messages []map[string]any
	if err := msgpack.Unmarshal(data, &messages); err != nil || len(messages) != 1 {
		t.Fatalf("messages: got %d and %v, want 1", len(messages), err)
	}

	for _, key := range []string{"w", "r"} {
		if _, ok := messages[0][key]; ok {
			t.Errorf("field %q: got one, want none", key)
		}
	}
}
