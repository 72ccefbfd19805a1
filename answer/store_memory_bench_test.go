package answer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkKeptMemory tells what one kept answer takes at its owner and its copy
// together, without the prompt.
func BenchmarkKeptMemory(b *testing.B) {
	const answers = 500

	for _, tokens := range []int{0, 100, 250, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				p := keepAnswers(b, answers, tokens)
				grown := heapInUse() - before

				b.ReportMetric(grown/answers, "B/answer")
				runtime.KeepAlive(p)
			}
		})
	}
}

func heapInUse() float64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}

// keepAnswers returns an owner and a copy that hold answers of some tokens each.
func keepAnswers(tb testing.TB, answers, tokens int) *pair {
	tb.Helper()

	p := newPair()
	now := testStart
	epoch := Epoch{Owner: "a", Incarnation: 1}

	for i := range answers {
		p.do(tb, p.stores["a"].Accept(now, Request{ID: testRequest(i)}))
	}

	for offset := range tokens {
		now = now.Add(time.Millisecond)

		for i := range answers {
			p.do(tb, p.stores["a"].Token(now, testRequest(i), epoch, offset, strings.Clone(" token")))
		}

		deliverDecoded(tb, p, now)
	}

	for range 10 {
		now = now.Add(10 * time.Millisecond)
		deliverDecoded(tb, p, now)
	}

	if got, want := len(p.stores["b"].answers[testRequest(0)].tokens), tokens; got != want {
		tb.Fatalf("tokens at the copy: got %d, want %d", got, want)
	}

	return p
}

// deliverDecoded delivers as the network does, so that nothing is shared.
func deliverDecoded(tb testing.TB, p *pair, now time.Time) {
	tb.Helper()

	p.do(tb, p.stores["a"].Tick(now))
	p.do(tb, p.stores["b"].Tick(now))

	flights := p.flights
	p.flights = nil

	for _, f := range flights {
		data, err := msgpack.Marshal(f.Batch)
		if err != nil {
			tb.Fatal(err)
		}

		batch := &Batch{}
		if err := msgpack.Unmarshal(data, batch); err != nil {
			tb.Fatal(err)
		}

		p.do(tb, p.stores[f.To].Receive(now, batch))
	}
}
