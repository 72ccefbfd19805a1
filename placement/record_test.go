package placement_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/backend"
	"monsoonlever/placement"
)

func TestRecordEncodingRoundTrip(t *testing.T) {
	want := placement.Record{
		Step: placement.StepRetire, Fence: 7, Sequence: 3, Token: placement.Token{Fence: 5, Sequence: 1},
		Service: service, Cell: cells[0], At: start, Voluntary: true,
	}

	data, err := msgpack.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}

	var got placement.Record
	if err := msgpack.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}

	got.At = got.At.UTC()
	if got != want {
		t.Errorf("record: got %+v, want %+v", got, want)
	}
}

func TestPurchaseTokenRoundTrip(t *testing.T) {
	want := placement.Token{Fence: 12, Sequence: 9}

	got, ok := placement.ParseToken(owner, want.Purchase(owner))
	if !ok || got != want {
		t.Errorf("token: got %v, %v, want %v", got, ok, want)
	}

	if _, ok := placement.ParseToken("se-west", want.Purchase(owner)); ok {
		t.Error("token of another owner: got true, want false")
	}
}

func TestEngineSpecRoundTripsThroughOrder(t *testing.T) {
	want := placement.EngineSpec{Model: "ledger", Version: "2", Adapter: "dk", Role: "decode"}
	o := want.Order(4)
	state := backend.EngineState{Fence: o.Fence, Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role}

	if got := placement.EngineReadback(state); got.State != want || got.Fence != 4 {
		t.Errorf("read back: got %+v, want %+v under 4", got, want)
	}
}
