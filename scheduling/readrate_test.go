package scheduling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// trueReadRate is the rate of a server of usual pace in tokens a second, and fixedDelay what
	// each prompt takes besides.
	trueReadRate = 112_000.0
	fixedDelay   = 47 * time.Millisecond
)

// promptTokens returns the tokens of a prompt, with a heavy tail.
func promptTokens(random *rand.Rand) int {
	return int(min(54_600, 2500*math.Exp(1.4*random.NormFloat64()))) + 1
}

// readTimeAt returns the time to the first event of a prompt at a server of a pace.
func readTimeAt(tokens int, pace float64) time.Duration {
	return time.Duration(float64(fixedDelay) / pace * (1 + float64(tokens)/trueReadRate/fixedDelay.Seconds()))
}

// Guards against planning servers by a speed in which delays count that do not depend on the length
// of a prompt: that speed is below half of the read rate.
func TestReadRateLeavesOutFixedDelays(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	m := &meter{}

	for range speedSamples {
		tokens := promptTokens(random)
		m.recordSpeed(tokens, readTimeAt(tokens, 1))
		m.recordUnqueuedRead(tokens, 1, readTimeAt(tokens, 1))
	}

	work := m.work(now, "llm", true)
	if got, want := work.ReadRate, trueReadRate; math.Abs(got-want) > 0.01*want {
		t.Errorf("read rate: got %.0f, want %.0f", got, want)
	}

	if got, most := work.Speed, 0.8*trueReadRate; got > most {
		t.Errorf("speed of single prompts: got %.0f, want at most %.0f with its delays", got, most)
	}
}

// Servers of a third of the paces 0.7, 0.7 and 1.7 take 2.5 times as long for 15 in 100 of the
// time, which is not known. The medians of 66 instances are near the rate that a server of usual
// pace sustains.
func TestReadRateOfUnevenServers(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2)) //nolint:gosec // a fixed seed

	var rates []float64

	for range 66 {
		m := &meter{}

		for range speedSamples {
			tokens, pace, took := promptTokens(random), []float64{0.7, 0.7, 1.7}[random.IntN(3)], 1.0
			if random.Float64() < 0.15 {
				took = 2.5
			}

			m.recordUnqueuedRead(tokens, pace, time.Duration(took*float64(readTimeAt(tokens, pace))))
		}

		rates = append(rates, m.work(now, "llm", true).ReadRate)
	}

	all := samples{}
	for _, r := range rates[:speedSamples] {
		all.add(r)
	}

	median, _ := all.quantile(0.5)
	if got, want := median, trueReadRate/(0.85+0.15*2.5); math.Abs(got-want) > 0.1*want {
		t.Errorf("median read rate: got %.0f, want within 10%% of %.0f", got, want)
	}
}

// One answer in ten may take any time, of a server that lies about its pace or of one that hangs.
func TestHoldsReadRateWithOutliers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r readRate

		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) //nolint:gosec // drawn

		for i := range speedSamples {
			tokens := promptTokens(random)
			pace, took := 1.0, readTimeAt(tokens, 1)

			if i%10 == 0 {
				pace = rapid.SampledFrom([]float64{1e-9, 0.01, 1, 100, 1e9, 0, math.NaN(), math.Inf(1), -1}).Draw(t, "pace")
				took = time.Duration(rapid.Int64Range(-1e9, 10e9).Draw(t, "took"))
			}

			r.add(tokens, pace, took)
		}

		got := r.tokensPerSecond()
		// An answer that takes too long counts as slow by maxSlowness at most.
		if least, most := trueReadRate/(1+0.15*(maxSlowness-1)), 1.1*trueReadRate; !(got >= least && got <= most) {
			t.Fatalf("read rate: got %v, want %.0f to %.0f", got, least, most)
		}
	})
}

// tellUsualPace has all servers tell that work takes as long as usual.
func tellUsualPace(s *Scheduler, at time.Time) {
	for id := range s.servers {
		s.RecordLoad(at, id, Load{Slots: 64, Slowness: 1})
	}
}

// Prompts that found a backlog are not counted: they show the rate of those before them.
func TestReadRateLeavesOutQueuedPrompts(t *testing.T) {
	s := engines(1, 64)
	at := now
	tellUsualPace(s, at)

	for i := range 2 * minRateSamples {
		first := pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: 9000}})
		first.Start(at)

		tokens := 2000 * (i + 1)
		second := pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: tokens}})
		second.Start(at)

		at = at.Add(readTimeAt(9000+tokens, 1))
		second.FirstEventReceived(at)
		second.End(at, Served)
		first.End(at, Cancelled)
	}

	if got := s.Work(at)[0].ReadRate; got != 0 {
		t.Errorf("read rate of queued prompts: got %v, want unknown", got)
	}

	if got := s.Work(at)[0].Reading; got == 0 {
		t.Error("tokens to read: got 0, want what arrives")
	}
}

// Where servers don't tell their pace, no read load is measured or sent.
func TestNoReadLoadWithoutPace(t *testing.T) {
	s := engines(1, 64)
	at := now
	random := rand.New(rand.NewPCG(3, 3)) //nolint:gosec // a fixed seed

	for range speedSamples {
		tokens := promptTokens(random)
		a := pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: tokens}})
		a.Start(at)
		at = at.Add(readTimeAt(tokens, 1))
		a.FirstEventReceived(at)
		a.End(at, Served)
	}

	if got := ReadLoads(s.Work(at)); got != nil {
		t.Errorf("read loads: got %v, want none", got)
	}

	tellUsualPace(s, at)

	got := ReadLoads(s.Work(at))
	if len(got) != 1 || math.Abs(got[0].Rate-trueReadRate) > 0.01*trueReadRate {
		t.Errorf("read loads where servers tell their pace: got %v, want a rate of %.0f", got, trueReadRate)
	}
}

func TestReadLoadsOfMessagesAreChecked(t *testing.T) {
	work := []Work{{Service: "llm", Arriving: 5}, {Service: "other"}}
	got := WithReadLoads(work, []ReadLoad{
		{Service: "llm", Reading: math.NaN(), Rate: math.Inf(1)}, {Service: "unknown", Rate: 1}, {Service: "other", Reading: -1, Rate: 7},
	})

	if got[0] != work[0] || got[1].Reading != 0 || got[1].ReadRate != 7 || len(got) != 2 || work[1].ReadRate != 0 {
		t.Errorf("work with absurd read loads: got %v, want %v and a rate of 7 for the second", got, work)
	}
}

func BenchmarkFitReadRate(b *testing.B) {
	random := rand.New(rand.NewPCG(4, 4)) //nolint:gosec // a fixed seed

	var r readRate

	for range speedSamples {
		tokens := promptTokens(random)
		r.add(tokens, 1, readTimeAt(tokens, 1))
	}

	for b.Loop() {
		fitReadRate(r.samples.values)
	}
}
