package entry

import (
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/scheduling"
)

// Paces travel beside the update, in datagrams of their own if there are many, and versions that
// don't know them decode the rest.
func TestPacesTravelBesideTheUpdate(t *testing.T) {
	var update scheduling.ServerUpdate

	for i := range uint32(300) {
		key := scheduling.Key(math.MaxUint32 - i)
		sample := scheduling.PaceSample{Kind: 2, Rate: 1e9, Count: math.MaxUint16}
		update.Paces = append(update.Paces, scheduling.ServerPace{
			Server: key, SlownessPercent: math.MaxUint16, AgeMs: math.MaxUint16, Samples: []scheduling.PaceSample{sample, sample, sample},
		})
		update.Backlogs = append(update.Backlogs, scheduling.Backlog{Server: key, Tokens: math.MaxUint32})
	}

	paces, backlogs := 0, 0

	for _, part := range splitUpdate(update) {
		message := promptMessage{Instance: "edge-ballerup-a-12", FromSubscriber: true, Update: part, Paces: part.Paces}

		data, err := msgpack.Marshal(&datagram{Prompts: &message})
		if err != nil || len(data) > gossip.MaxMessageBytes {
			t.Fatalf("datagram: got %d bytes and %v, want at most %d", len(data), err, gossip.MaxMessageBytes)
		}

		var now datagram
		if err := codec.Unmarshal(data, &now); err != nil {
			t.Fatal(err)
		}

		paces += len(now.Prompts.Paces)

		var earlier struct {
			Prompts *struct {
				Instance fleet.InstanceID        `msgpack:"i"`
				Update   scheduling.ServerUpdate `msgpack:"n"`
			} `msgpack:"p,omitempty"`
		}
		if err := codec.Unmarshal(data, &earlier); err != nil {
			t.Fatalf("earlier version: got %v, want no error", err)
		}

		backlogs += len(earlier.Prompts.Update.Backlogs)
	}

	if paces != 300 || backlogs != 300 {
		t.Errorf("got %d paces and %d backlogs, want 300 of each", paces, backlogs)
	}
}

// Earlier versions refuse an array of another length.
func TestArraysHaveTheFieldsThatEarlierVersionsKnow(t *testing.T) {
	work := scheduling.Work{Service: "llm", Arriving: 1, Speed: 1, Reading: 1, ReadRate: 1}
	update := scheduling.ServerUpdate{Paces: []scheduling.ServerPace{{Server: 1, SlownessPercent: 100}}}

	for _, c := range []struct {
		value any
		want  int
	}{{work, 3}, {update, 6}} {
		data, err := msgpack.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}

		var fields []msgpack.RawMessage
		if err := msgpack.Unmarshal(data, &fields); err != nil {
			t.Fatal(err)
		}

		if got := len(fields); got != c.want {
			t.Errorf("fields of %T: got %d, want %d", c.value, got, c.want)
		}
	}
}
