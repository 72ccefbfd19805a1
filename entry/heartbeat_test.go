package entry

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/fleet"
	"monsoonlever/platform"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/scheduling"
	"monsoonlever/topology"
	"monsoonlever/usage"
)

// The content of a heartbeat must have been valid after its echo. An echo received after the
// content was collected and before it is sent, as when the process is suspended, would make old
// content look recent.
func TestHeartbeatEchoPredatesItsContent(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := &components{
		clock: clk, duties: &duties{}, limits: quota.New(quota.Policy{}), members: &board.Members{}, links: &topology.Links{},
		counter:       &usage.Counter{Width: time.Second, Retention: time.Second, Now: clk.Now},
		rulesCurrency: &currency.Tracker{Clock: clk}, registerCurrency: &currency.Tracker{Clock: clk},
		register: &register.Register{}, scheduler: &scheduling.Scheduler{}, rollouts: &rollouts{}, store: platform.NewStore("127.0.0.1:1", nil),
	}

	p.plan.Store(&topology.Plan{Relay: true, FullMesh: true})

	const other fleet.InstanceID = "entry-2"

	p.echoes.record(other, 1)
	p.consumptionSeen.record(consumptionMessage{Instance: other, At: 1, Parts: 1})
	heartbeatsFor := p.makeHeartbeats(clk.Now())

	clk.Advance(10 * time.Second)
	p.echoes.record(other, 2)
	p.consumptionSeen.record(consumptionMessage{Instance: other, At: 2, Parts: 1})

	heartbeats, err := heartbeatsFor(other)
	if err != nil || len(heartbeats) != 1 {
		t.Fatalf("heartbeats: got %d and %v, want 1", len(heartbeats), err)
	}

	var d datagram
	if err := msgpack.Unmarshal(heartbeats[0], &d); err != nil || d.Heartbeat == nil || d.Consumption == nil {
		t.Fatalf("decode: got %v, want a heartbeat and consumption", err)
	}

	if got, want := d.Heartbeat.Echo, int64(1); got != want {
		t.Errorf("echo: got %d, want %d, which was received before the heartbeat was made", got, want)
	}

	if got, want := d.Consumption.Echo, int64(1); got != want {
		t.Errorf("echo of the consumption: got %d, want %d, which was received before the consumption was read", got, want)
	}

	if got, want := d.Heartbeat.At, time.Unix(1000, 0).UnixNano(); got != want {
		t.Errorf("time of the heartbeat: got %d, want %d", got, want)
	}
}
