package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newCore() *Core {
	c := &Core{
		Self:   Identity{ID: "self", Incarnation: 3, Region: "r", Domain: "d", Address: "10.0.0.1:1"},
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	c.Tick(testStart)

	return c
}

func gossip(updates ...Update) *Gossip {
	return &Gossip{Updates: updates}
}

func TestCoreMergesNewerUpdates(t *testing.T) {
	place := &Place{Region: "r", Domain: "d", Address: "10.0.0.2:1"}
	known := Update{
		ID: "b", Incarnation: 5, Revision: 2, Status: Suspect, Place: place,
		Payload: &Payload{Version: 3, Data: "three"},
	}

	tests := []struct {
		desc        string
		update      Update
		wantVersion version
		wantPayload string
	}{
		{
			desc:        "older incarnation",
			update:      Update{ID: "b", Incarnation: 4, Revision: 9, Status: Dead, Place: place, Payload: &Payload{Version: 9}},
			wantVersion: known.version(), wantPayload: "three",
		},
		{
			desc:        "older revision",
			update:      Update{ID: "b", Incarnation: 5, Revision: 1, Status: Dead},
			wantVersion: known.version(), wantPayload: "three",
		},
		{
			desc:        "lower status",
			update:      Update{ID: "b", Incarnation: 5, Revision: 2, Status: Alive},
			wantVersion: known.version(), wantPayload: "three",
		},
		{
			desc:        "higher status",
			update:      Update{ID: "b", Incarnation: 5, Revision: 2, Status: Dead},
			wantVersion: version{incarnation: 5, revision: 2, status: Dead}, wantPayload: "three",
		},
		{
			desc:        "refutation",
			update:      Update{ID: "b", Incarnation: 5, Revision: 3, Status: Alive},
			wantVersion: version{incarnation: 5, revision: 3}, wantPayload: "three",
		},
		{
			desc:        "payload alone",
			update:      Update{ID: "b", Incarnation: 5, Payload: &Payload{Version: 4, Data: "four"}},
			wantVersion: known.version(), wantPayload: "four",
		},
		{
			desc:        "newer incarnation without place",
			update:      Update{ID: "b", Incarnation: 6},
			wantVersion: known.version(), wantPayload: "three",
		},
		{
			desc:        "newer incarnation",
			update:      Update{ID: "b", Incarnation: 6, Place: place},
			wantVersion: version{incarnation: 6}, wantPayload: "",
		},
		{
			desc:        "invalid status",
			update:      Update{ID: "b", Incarnation: 7, Status: Dead + 1, Place: place},
			wantVersion: known.version(), wantPayload: "three",
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := newCore()
			from := Source{ID: "c", Incarnation: 1, Address: "10.0.0.3:1"}
			c.Receive(testStart, from, gossip(known))
			c.Receive(testStart, from, gossip(tt.update))

			got := c.View().Member("b")
			if got.version() != tt.wantVersion || string(got.Payload()) != tt.wantPayload {
				t.Errorf("member: got %+v with %q, want %+v with %q", got.version(), got.Payload(), tt.wantVersion, tt.wantPayload)
			}
		})
	}
}

func TestCoreRefutesUpdatesAboutItself(t *testing.T) {
	tests := []struct {
		desc           string
		update         Update
		wantRevision   uint32
		wantSuperseded bool
	}{
		{desc: "alive", update: Update{ID: "self", Incarnation: 3}, wantRevision: 0},
		{desc: "suspect", update: Update{ID: "self", Incarnation: 3, Status: Suspect}, wantRevision: 1},
		{desc: "dead at a later revision", update: Update{ID: "self", Incarnation: 3, Revision: 4, Status: Dead}, wantRevision: 5},
		{desc: "earlier incarnation is dead", update: Update{ID: "self", Incarnation: 2, Revision: 4, Status: Dead}, wantRevision: 0},
		{desc: "later incarnation runs", update: Update{ID: "self", Incarnation: 4}, wantSuperseded: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := newCore()
			c.Receive(testStart, Source{ID: "c", Incarnation: 1, Address: "10.0.0.3:1"}, gossip(tt.update))

			if got, want := c.self().revision, tt.wantRevision; got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}

			if _, got := c.Superseded(); got != tt.wantSuperseded {
				t.Errorf("superseded: got %v, want %v", got, tt.wantSuperseded)
			}
		})
	}
}

func TestCoreLimitsPayloadRate(t *testing.T) {
	c := newCore()

	if _, err := c.SetPayload(testStart, make([]byte, MaxPayload+1), Routine); err == nil {
		t.Error("large payload: got nil, want an error")
	}

	for i := range 200 {
		if _, err := c.SetPayload(testStart, []byte{byte(i)}, Routine); err != nil {
			t.Fatal(err)
		}
	}

	routine := c.self().PayloadVersion()
	u := newUpdate(c.self(), partPayload)

	if got, limit := int(routine)*u.size(), payloadBurstBytes; got > limit || routine == 0 {
		t.Errorf("burst of routine payloads: got %d bytes, want at most %d", got, limit)
	}

	c.Tick(testStart.Add(time.Second))

	if got, want := c.self().Payload(), byte(199); len(got) != 1 || got[0] != want {
		t.Errorf("payload after the rate limit refilled: got %v, want [%d]", got, want)
	}

	before := c.self().PayloadVersion()
	large := make([]byte, MaxPayload)

	for range 20 {
		if _, err := c.SetPayload(testStart.Add(time.Second), large, Urgent); err != nil {
			t.Fatal(err)
		}
	}

	if got, want := c.self().PayloadVersion()-before, uint32(urgentBurstChanges); got != want {
		t.Errorf("burst of urgent payloads: got %d, want %d", got, want)
	}
}
