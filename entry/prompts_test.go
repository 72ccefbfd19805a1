package entry

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/register"
	"monsoonlever/scheduling"
	"monsoonlever/topology"
)

// An update that is larger than a datagram is sent in several, without losing any of it.
func TestPromptUpdateIsSplitIntoDatagrams(t *testing.T) {
	var update scheduling.ServerUpdate

	for i := range uint32(300) {
		key := scheduling.Key(math.MaxUint32 - i)
		update.Backlogs = append(update.Backlogs, scheduling.Backlog{Server: key, Tokens: math.MaxUint32 - i})
		update.Loads = append(update.Loads, scheduling.ServerLoad{Server: key, Requests: math.MaxUint16, AgeMs: math.MaxUint16})
		update.Limits = append(update.Limits, scheduling.ServerLimit{Server: key, Rate: math.MaxFloat64, AgeMs: math.MaxUint32})
		update.Holdings = append(update.Holdings, scheduling.CachedSegments{Server: key, Parts: []scheduling.Key{key, key, key, key, key}})
	}

	backlogs, holdings, loads, limits := 0, 0, 0, 0

	for _, part := range splitUpdate(update) {
		data, err := msgpack.Marshal(&datagram{Prompts: &promptMessage{Instance: "edge-ballerup-a-12", FromSubscriber: true, Update: part}})
		if err != nil || len(data) > gossip.MaxMessageBytes {
			t.Fatalf("datagram: got %d bytes and %v, want at most %d", len(data), err, gossip.MaxMessageBytes)
		}

		var d datagram
		if err := msgpack.Unmarshal(data, &d); err != nil || d.Prompts == nil {
			t.Fatalf("decode: got %v, want a prompt update", err)
		}

		backlogs += len(d.Prompts.Update.Backlogs)
		holdings += len(d.Prompts.Update.Holdings)
		loads += len(d.Prompts.Update.Loads)
		limits += len(d.Prompts.Update.Limits)
	}

	if backlogs != 300 || holdings != 300 || loads != 300 || limits != 300 {
		t.Errorf("sent: got %d backlogs, %d holdings, %d loads and %d limits, want 300 of each", backlogs, holdings, loads, limits)
	}
}

// Two instances that subscribe to each other, each taking the other for a relay, must not publish
// each other's updates as their own: the published backlogs would grow without bound.
func TestUplinkUpdateIsNotPublished(t *testing.T) {
	p := &components{scheduler: &scheduling.Scheduler{}}
	p.scheduler.Update([]register.Server{{ID: "i-1", Service: "llm", Address: "10.0.0.1:1", Slots: 8}})
	p.plan.Store(&topology.Plan{Relays: []topology.Member{{ID: "relay"}}})

	now := time.Unix(1000, 0)
	peer := &scheduling.Scheduler{}
	peer.Update([]register.Server{{ID: "i-1", Service: "llm", Address: "10.0.0.1:1", Slots: 8}})

	assignment, err := peer.Pick(now, scheduling.Request{Service: "llm", Prompt: scheduling.Prompt{Tokens: 900}})
	if err != nil || !assignment.Start(now) {
		t.Fatalf("place: got %v, want a server", err)
	}

	update := peer.TakeUpdate(now, scheduling.Upstream)
	p.receivePrompts(now, &promptMessage{Instance: "relay", FromSubscriber: true, Update: update})

	if got := p.scheduler.TakeUpdate(now, scheduling.Upstream); len(got.Backlogs) != 0 {
		t.Errorf("published upstream after an update of the relay: got %v, want nothing", got.Backlogs)
	}

	// An instance that is no relay does not publish updates of subscribers either.
	p.receivePrompts(now, &promptMessage{Instance: "entry-2", FromSubscriber: true, Update: update})

	if got := p.scheduler.TakeUpdate(now, scheduling.Upstream); len(got.Backlogs) != 1 || got.Backlogs[0].Tokens != 0 {
		t.Errorf("published upstream after an update of a subscriber, without being a relay: got %v, want its own 0 tokens", got.Backlogs)
	}

	p.scheduler.SetRelay(true)
	p.receivePrompts(now, &promptMessage{Instance: "entry-2", FromSubscriber: true, Update: update})

	if got := p.scheduler.TakeUpdate(now, scheduling.Upstream); len(got.Backlogs) != 1 || got.Backlogs[0].Tokens != 900 {
		t.Errorf("published upstream by a relay after an update of a subscriber: got %v, want its 900 tokens", got.Backlogs)
	}
}

// A small update takes one datagram, whatever it contains.
func TestSmallPromptUpdateTakesOneDatagram(t *testing.T) {
	update := scheduling.ServerUpdate{
		Backlogs: make([]scheduling.Backlog, 30), Loads: make([]scheduling.ServerLoad, 30),
		Holdings: []scheduling.CachedSegments{{Parts: make([]scheduling.Key, 5)}, {Parts: make([]scheduling.Key, 500)}},
	}

	parts := splitUpdate(update)
	if len(parts) != 2 || len(parts[0].Backlogs) != 30 || len(parts[0].Loads) != 30 || len(parts[0].Holdings) != 1 {
		t.Fatalf("parts: got %d, want two, the first with all but the long entry of cached segments", len(parts))
	}

	if got := len(parts[1].Holdings[0].Parts); got != maxSegments {
		t.Errorf("segments of the long entry: got %d, want the first %d", got, maxSegments)
	}

	if got := splitUpdate(scheduling.ServerUpdate{}); len(got) != 0 {
		t.Errorf("empty update: got %d parts, want none", len(got))
	}
}

// Contentions are a field of their own, which earlier versions ignore.
func TestEarlierVersionsReadMessagesWithContentions(t *testing.T) {
	update := scheduling.ServerUpdate{
		Backlogs: []scheduling.Backlog{{Server: 3, Tokens: 900}}, Contentions: []scheduling.Contention{{Service: "llm", Priority: 2, Account: 7}},
	}
	parts := splitUpdate(update)

	if got := len(parts); got != 1 {
		t.Fatalf("parts: got %d, want 1", got)
	}

	data, err := msgpack.Marshal(&promptMessage{Instance: "entry-1", Update: parts[0], Contentions: parts[0].Contentions})
	if err != nil {
		t.Fatal(err)
	}

	var earlier struct {
		Instance fleet.InstanceID        `msgpack:"i"`
		Update   scheduling.ServerUpdate `msgpack:"n"`
	}
	if err := codec.Unmarshal(data, &earlier); err != nil || !slices.Equal(earlier.Update.Backlogs, update.Backlogs) {
		t.Errorf("message at an earlier version: got %v, %v, want the backlogs", earlier.Update.Backlogs, err)
	}

	var current promptMessage
	if err := codec.Unmarshal(data, &current); err != nil || !slices.Equal(current.Contentions, update.Contentions) {
		t.Errorf("message: got %v, %v, want the contentions", current.Contentions, err)
	}
}
