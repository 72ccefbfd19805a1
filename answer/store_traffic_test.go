package answer

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/fleet"
)

// pair is an owner and the one copy of what it owns, a step apart.
type pair struct {
	stores  map[fleet.InstanceID]*Store
	flights []Send
	batches int
	bytes   int
}

func newPair() *pair {
	a := Member{ID: "a", Incarnation: 1, Domain: "a"}
	b := Member{ID: "b", Incarnation: 1, Domain: "b"}
	p := &pair{stores: map[fleet.InstanceID]*Store{
		"a": {Self: a, Policy: DefaultStorePolicy()},
		"b": {Self: b, Policy: DefaultStorePolicy()},
	}}
	p.stores["a"].SetMembers(testStart, []Member{b})
	p.stores["b"].SetMembers(testStart, []Member{a})

	return p
}

func (p *pair) do(tb testing.TB, commands []StoreCommand) {
	tb.Helper()

	for _, c := range commands {
		send, ok := c.(Send)
		if !ok {
			continue
		}

		data, err := msgpack.Marshal(send.Batch)
		if err != nil {
			tb.Fatalf("encode: got %v, want no error", err)
		}

		p.batches++
		p.bytes += len(data)
		p.flights = append(p.flights, send)
	}
}

func (p *pair) deliver(tb testing.TB, now time.Time) {
	tb.Helper()

	flights := p.flights
	p.flights = nil

	for _, f := range flights {
		p.do(tb, p.stores[f.To].Receive(now, f.Batch))
	}
}

// TestCopyTraffic prints what a copy costs between two instances, for
// docs/whole-answers.md.
func TestCopyTraffic(t *testing.T) {
	const (
		seconds = 2
		perSec  = 15
	)

	for _, answers := range []int{1, 100, 700} {
		p := newPair()
		now := testStart

		for i := range answers {
			p.do(t, p.stores["a"].Accept(now, Request{ID: testRequest(i)}))
		}

		for range 3 {
			p.deliver(t, now)
		}

		p.batches, p.bytes = 0, 0
		tokens := 0
		epoch := Epoch{Owner: "a", Incarnation: 1}

		for ms := range seconds * 1000 {
			now = now.Add(time.Millisecond)
			p.deliver(t, now)

			for i := range answers {
				// Each answer has its own phase, so that tokens come evenly.
				if (ms*perSec+i*997)%1000 < perSec {
					offset := len(p.stores["a"].answers[testRequest(i)].tokens)
					p.do(t, p.stores["a"].Token(now, testRequest(i), epoch, offset, " token"))
					tokens++
				}
			}

			p.do(t, p.stores["a"].Tick(now))
			p.do(t, p.stores["b"].Tick(now))
		}

		t.Logf("%d answers: %d tokens/s, %d batches/s, %d bytes/s, %.0f bytes a token",
			answers, tokens/seconds, p.batches/seconds, p.bytes/seconds, float64(p.bytes)/float64(tokens))
	}
}

func testRequest(i int) RequestID {
	return RequestID(fmt.Sprintf("0f4d2c9e-0000-4000-8000-%012d", i))
}

func BenchmarkStoreToken(b *testing.B) {
	p := newPair()
	now := testStart

	const answers = 700
	for i := range answers {
		p.do(b, p.stores["a"].Accept(now, Request{ID: testRequest(i)}))
	}

	for range 3 {
		p.deliver(b, now)
	}

	epoch := Epoch{Owner: "a", Incarnation: 1}
	ids := make([]RequestID, answers)

	for i := range ids {
		ids[i] = testRequest(i)
	}

	b.ReportAllocs()

	for n := 0; b.Loop(); n++ {
		for _, c := range p.stores["a"].Token(now, ids[n%answers], epoch, n/answers, " token") {
			if send, ok := c.(Send); ok {
				for _, reply := range p.stores["b"].Receive(now, send.Batch) {
					if back, ok := reply.(Send); ok {
						p.stores["a"].Receive(now, back.Batch)
					}
				}
			}
		}
	}
}
