package membership

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// drawUpdate draws an update whose fields have any valid size.
func drawUpdate(t *rapid.T) Update {
	text := rapid.StringN(0, 40, 60)
	u := Update{
		ID:          fleet.InstanceID(text.Draw(t, "id")),
		Incarnation: fleet.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Revision:    rapid.Uint32().Draw(t, "revision"),
		Phase:       Phase(rapid.IntRange(0, int(Left)).Draw(t, "phase")),
		Status:      Status(rapid.IntRange(0, int(Dead)).Draw(t, "status")),
	}

	if rapid.Bool().Draw(t, "place") {
		u.Place = &Place{
			Region:  fleet.Region(text.Draw(t, "region")),
			Domain:  fleet.FailureDomain(text.Draw(t, "domain")),
			Address: text.Draw(t, "address"),
		}
	}

	if rapid.Bool().Draw(t, "payload") {
		u.Payload = &Payload{
			Version: rapid.Uint32().Draw(t, "version"),
			Data:    rapid.StringN(0, MaxPayload, MaxPayload).Draw(t, "data"),
		}
	}

	return u
}

// encodedSize returns the size of the message as the peer package encodes it.
func encodedSize(t *rapid.T, message Message) int {
	var buffer bytes.Buffer

	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)

	if err := encoder.Encode(message); err != nil {
		t.Fatal(err)
	}

	return buffer.Len()
}

// TestHoldsMembershipSizeIsUpperBound checks that Size, by which messages are
// filled and rates are limited, is never below the encoded size of a message.
func TestHoldsMembershipSizeIsUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 0, 20).Draw(t, "updates")
		digests := make([]byte, bucketCount*digestSize)
		number := rapid.Uint32().Draw(t, "number")
		target := fleet.InstanceID(rapid.StringN(0, 40, 60).Draw(t, "target"))

		messages := []Message{
			&Probe{Number: number, Target: target, Updates: updates},
			&Ack{Number: number, Updates: updates},
			&IndirectProbe{Number: number, Target: target, Updates: updates},
			&Gossip{Updates: updates},
			&SyncRequest{Digests: digests, Updates: updates},
			&SyncResponse{Buckets: digests[:bucketCount], More: true, Updates: updates},
		}

		for _, m := range messages {
			if got, bound := encodedSize(t, m), m.Size(); got > bound {
				t.Fatalf("%T: got %d bytes, want at most %d", m, got, bound)
			}
		}
	})
}
