package entry

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/platform"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
	"monsoonlever/replica"
	"monsoonlever/rollout"
	"monsoonlever/scheduling"
	"monsoonlever/settings"
	"monsoonlever/topology"
	"monsoonlever/usage"
)

// newLargeComponents returns the components of an instance that knows many accounts and backend
// servers.
func newLargeComponents(clk clock.Clock, accounts, leaving int) *components {
	p := &components{
		settings: settings.Entry{
			Instance: "edge-ballerup-a-12", FailureDomain: "ballerup-a", Listen: settings.EntryListen{Peers: "10.1.0.14:7600"},
		},
		clock:   clk,
		metrics: metrics.NewSet(),
		duties:  &duties{incarnation: 1, ledger: usage.NewLedger(usage.Policy{Width: 5 * time.Second}, clk.Now())},
		members: &board.Members{}, links: &topology.Links{}, loans: &quota.Limiter{Quota: quota.New(quota.Policy{}), Clock: clk},
		limits:        quota.New(quota.Policy{Self: "edge-ballerup-a-12", Window: 8 * time.Second}),
		counter:       &usage.Counter{Width: 5 * time.Second, Retention: 15 * time.Second, Now: clk.Now},
		rulesCurrency: &currency.Tracker{Clock: clk}, registerCurrency: &currency.Tracker{Clock: clk},
		register: &register.Register{}, scheduler: &scheduling.Scheduler{}, rollouts: &rollouts{}, store: platform.NewStore("127.0.0.1:1", nil), quarantine: &quarantine.Ledger{},
		directoryLog: &replica.Log{Clock: clk},
	}
	p.permits = newPermits(p)
	p.rulesFeed, p.registerFeed = &feed.Follower{}, &feed.Follower{}
	p.plan.Store(&topology.Plan{Relay: true, FullMesh: true, Leaders: []fleet.InstanceID{
		"edge-ballerup-a-1", "edge-ballerup-b-1", "edge-taastrup-1-1", "edge-taastrup-2-1", "edge-hvidovre-1-1",
	}})

	var allowances []quota.Allowance

	for i := range accounts {
		allowances = append(allowances, quota.Allowance{Account: fleet.Account(fmt.Sprint("wholesaler-", i)), Amount: 1e6, Rate: 1e4})
	}

	p.limits.Configure(allowances)
	p.limits.SetMembers([]fleet.InstanceID{"edge-ballerup-a-12"}, nil)
	p.limits.MarkSynced(clk.Now())

	for _, a := range allowances {
		p.limits.Take(clk.Now(), a.Account, 1234)
		p.counter.RequestStarted(a.Account)
	}

	var changes []register.Change

	for i := range leaving {
		id := fleet.InstanceID(fmt.Sprintf("i-%010x", i))
		changes = append(changes, register.Change{ID: id, Version: 1, Server: &register.Server{
			ID: id, Incarnation: 1_790_000_000_000, Service: "huvo11a", Address: "10.128.100.109:8080", Domain: "ballerup-a", Leaving: true,
		}})
	}

	p.register.Replace(changes)

	for i := range leaving {
		p.rollouts.gate.Apply(clk.Now(), rollout.State{
			Service: fleet.Service(fmt.Sprintf("model-service-%08x", i)), Target: "release-2026-12-03.1", Place: math.MaxUint64,
			Phase: rollout.Completed, Fence: math.MaxUint64, Step: math.MaxUint32, Share: 0.123, Elapsed: math.MaxInt64,
			Avoid: slices.Repeat([]fleet.Version{"release-2026-11-30.4"}, 8), Reached: math.MaxUint64, Exposed: math.MaxUint64,
			ReachedBefore: math.MaxUint64, ExposedBefore: math.MaxUint64,
		}, clk.Now())
	}

	return p
}

// startWork starts one request at each of some services.
func startWork(t *rapid.T, s *scheduling.Scheduler, now time.Time, services int) {
	var servers []register.Server

	for i := range services {
		name := fmt.Sprintf("model-service-%08x", i)
		servers = append(servers, register.Server{ID: fleet.InstanceID(name), Service: fleet.Service(name), Slots: 1})
	}

	s.Update(servers)

	for _, server := range servers {
		assignment, err := s.Pick(now, scheduling.Request{Service: server.Service, Prompt: scheduling.Prompt{Tokens: 9000}})
		if err != nil {
			t.Fatal(err)
		}

		assignment.Start(now)
	}
}

// All messages of an instance fit into a datagram, and together they carry its complete state.
func TestHoldsMessagesToDatagramSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.IntRange(0, 150).Draw(t, "accounts")
		leaving := rapid.IntRange(0, 200).Draw(t, "leaving servers")
		clk := clock.NewManual(time.Unix(1_790_000_000, 0))
		p := newLargeComponents(clk, accounts, leaving)

		accountsSent := make(map[fleet.Account]bool)
		leavingSent := make(map[register.Process]bool)
		rolloutsSent := make(map[fleet.Service]bool)

		for range 1 + leaving {
			heartbeats, err := p.makeHeartbeats(clk.Now())("edge-ballerup-b-1")
			if err != nil {
				t.Fatalf("heartbeats: got %v, want some", err)
			}

			for _, data := range heartbeats {
				d := decodeMessage(t, data)
				if d.Consumption != nil {
					for _, s := range d.Consumption.Consumption {
						accountsSent[s.Account] = true
					}
				}

				if d.Heartbeat != nil {
					for _, u := range d.Heartbeat.Rollouts {
						rolloutsSent[u.State.Service] = true
					}

					for _, s := range d.Heartbeat.Leaving {
						leavingSent[s] = true
					}
				}
			}
		}

		if len(accountsSent) != accounts || len(leavingSent) != leaving {
			t.Errorf("sent: got %d accounts and %d leaving servers, want %d and %d", len(accountsSent), len(leavingSent), accounts, leaving)
		}

		if len(rolloutsSent) != leaving {
			t.Errorf("rollouts sent: got %d, want %d", len(rolloutsSent), leaving)
		}

		measured := rapid.IntRange(0, 100).Draw(t, "services")
		startWork(t, p.scheduler, clk.Now(), measured)

		counts, work := 0, 0

		for _, c := range p.makeCounts(clk.Now()) {
			counts += len(c.Usage)
			work += len(c.Work)
			encodeMessage(t, datagram{Counts: &c})
		}

		for _, c := range p.makeCounts(clk.Now()) {
			p.forwardQueue.add(c)
		}

		forwarded := 0

		for _, batch := range pack(p.forwardQueue.take(), usageCounts.size) {
			for _, c := range batch {
				forwarded += len(c.Usage)
			}

			encodeMessage(t, datagram{Forwarded: batch})
		}

		if forwarded != accounts {
			t.Errorf("counts forwarded: got %d, want %d", forwarded, accounts)
		}

		if work != measured {
			t.Errorf("services whose work is sent: got %d, want %d", work, measured)
		}

		if counts != accounts {
			t.Errorf("counts sent: got %d, want %d", counts, accounts)
		}

		servers := 0

		var added []register.Delta
		for _, s := range p.register.Servers() {
			added = append(added, register.Delta{After: &s})
		}

		for _, batch := range pack(p.makeServerChanges(clk.Now(), added), serverChange.size) {
			servers += len(batch)
			encodeMessage(t, datagram{Servers: batch})
		}

		if servers != leaving {
			t.Errorf("servers sent: got %d, want %d", servers, leaving)
		}

		// Record one loss per account.
		for i := range accounts {
			p.quarantine.RecordLoss(clk.Now(), quarantine.Fingerprint(math.MaxUint64-uint64(i)), register.Process{ID: "i-1"}, quarantine.Strong)
		}

		losses := 0

		for _, batch := range packLosses(p.quarantine.PendingLosses(clk.Now())) {
			losses += len(batch)
			encodeMessage(t, datagram{Losses: batch})
		}

		if losses != accounts {
			t.Errorf("losses sent: got %d, want %d", losses, accounts)
		}
	})
}

func encodeMessage(t *rapid.T, d datagram) []byte {
	data, err := msgpack.Marshal(&d)
	if err != nil || len(data) > gossip.MaxMessageBytes {
		t.Fatalf("message: got %d bytes and %v, want at most %d", len(data), err, gossip.MaxMessageBytes)
	}

	return data
}

func decodeMessage(t *rapid.T, data []byte) datagram {
	if len(data) > gossip.MaxMessageBytes {
		t.Fatalf("message: got %d bytes, want at most %d", len(data), gossip.MaxMessageBytes)
	}

	var d datagram
	if err := msgpack.Unmarshal(data, &d); err != nil {
		t.Fatalf("decode: got %v, want a message", err)
	}

	return d
}

// A coordinator acknowledges another's consumption only once it has received all parts of it.
// Parts of different messages must not be counted together.
func TestConsumptionEchoRequiresAllParts(t *testing.T) {
	var tracker consumptionTracker

	tracker.record(consumptionMessage{Instance: "entry-2", At: 5, Part: 0, Parts: 2})

	if got := tracker.newest()["entry-2"].at; got != 0 {
		t.Errorf("after one of two parts: got an echo of %d, want none", got)
	}

	tracker.record(consumptionMessage{Instance: "entry-2", At: 6, Part: 1, Parts: 2})
	tracker.record(consumptionMessage{Instance: "entry-2", At: 6, Part: 1, Parts: 2})

	if got := tracker.newest()["entry-2"].at; got != 0 {
		t.Errorf("after one part of each of two messages: got an echo of %d, want none", got)
	}

	tracker.record(consumptionMessage{Instance: "entry-2", At: 6, Part: 0, Parts: 2})

	if got := tracker.newest()["entry-2"].at; got != 6 {
		t.Errorf("after both parts: got an echo of %d, want 6", got)
	}
}

func FuzzReceiveDatagram(f *testing.F) {
	data, err := msgpack.Marshal(&datagram{Heartbeat: &heartbeat{Instance: "entry-2", Leaders: []fleet.InstanceID{"entry-2"}, InstanceCount: 20}})
	if err != nil {
		f.Fatal(err)
	}

	f.Add(data)

	for _, d := range []datagram{
		{PermitRequest: &ratelimit.PermitRequest{From: "entry-2", Server: register.Process{ID: "i-0000000000"}, Rate: ratelimit.Rate(math.NaN()), Age: -1}},
		{PermitResponse: &ratelimit.PermitResponse{Granted: true, Wait: -1, Rate: -1}},
		{Prompts: &promptMessage{Update: scheduling.ServerUpdate{Limits: []scheduling.ServerLimit{{Rate: ratelimit.Rate(math.Inf(1))}}}}},
	} {
		data, err := msgpack.Marshal(&d)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(data)
	}

	f.Fuzz(func(_ *testing.T, data []byte) {
		clk := clock.NewManual(time.Unix(1_790_000_000, 0))
		p := newLargeComponents(clk, 1, 1)
		p.board = &board.Board{}
		p.receiveDatagram(clk.Now(), p.links.Self.Address, data)
	})
}
