package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
)

// Guards against an instance that takes a reply for whole of which a datagram was lost, or that merges
// less than another one knows.
func TestEvidenceIsKnownOnceReplyIsWhole(t *testing.T) {
	knows, starts := &components{quarantine: &quarantine.Ledger{}}, &components{quarantine: &quarantine.Ledger{}}

	now := time.Unix(1000, 0)
	parts := quarantine.PartKeys("llm", []string{"dead", "own"})

	for i := range 60 {
		server := register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", i))}

		knows.quarantine.RecordLoss(now, quarantine.FingerprintOf("acme", "POST", "h", "/", fmt.Append(nil, i)), server, quarantine.Strong)
		knows.parts.RecordCrash(now.Add(time.Duration(i-60)*time.Second), server, parts)
	}

	replies := knows.evidenceReplies(now, starts.evidence.next())
	if got, want := len(replies), 2; got < want {
		t.Fatalf("datagrams of a reply: got %d, want at least %d", got, want)
	}

	for i, reply := range replies {
		late := reply
		late.Number--

		for _, r := range []evidenceReply{late, reply, reply} {
			d := datagram{EvidenceReply: &r}
			starts.receiveEvidenceMessage(now, netip.AddrPort{}, &d)
		}

		if got, want := starts.evidence.known.Load(), i == len(replies)-1; got != want {
			t.Errorf("after %d of %d datagrams: got known %t, want %t", i+1, len(replies), got, want)
		}
	}

	if _, held := starts.parts.Held(parts); !held {
		t.Error("part that crashes servers: got it sent, want it held off")
	}
}

// Checks that streams are recorded often while servers of several versions serve and for a while after.
func TestSeveralVersionsAreSeenAndRemembered(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := &components{clock: clk, register: &register.Register{}}
	several := newVersionWatch(p)

	servers := func(versions ...string) {
		var changes []register.Change
		for i, v := range versions {
			s := register.Server{ID: fleet.InstanceID(fmt.Sprint("i-", i)), Service: "llm", Version: fleet.Version(v)}
			changes = append(changes, register.Change{ID: s.ID, Version: uint64(i + 1), Server: &s})
		}

		p.register.Replace(changes)
	}

	for _, c := range []struct {
		versions []string
		after    time.Duration
		want     bool
	}{
		{versions: []string{"v1", "v1"}},
		{versions: []string{"v1", "v2"}, want: true},
		{versions: []string{"v2", "v2"}, after: severalVersionsTTL / 2, want: true},
		{versions: []string{"v2", "v2"}, after: severalVersionsTTL},
	} {
		servers(c.versions...)
		clk.Advance(c.after)

		if got := several(); got != c.want {
			t.Errorf("%v after %v: got several versions %t, want %t", c.versions, c.after, got, c.want)
		}
	}
}
