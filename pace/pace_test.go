package pace

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func TestHoldsPaceIsBoundedWhateverIsSampled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator

		at := now
		for range rapid.IntRange(0, 20).Draw(t, "samples") {
			at = at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Millisecond)
			e.Add(at, SampleOf(rapid.Float64().Draw(t, "rate")))
		}

		for _, got := range []float64{e.Relative(at, 1), e.LongTerm(at, 1), e.Relative(at, rapid.Float64().Draw(t, "usual"))} {
			if math.IsNaN(got) || got < Min || got > Max {
				t.Fatalf("pace: got %v, want one within %v and %v", got, Min, Max)
			}
		}
	})
}

// Few samples are shrunk to what is usual, and old ones lose their weight.
func TestFewOrOldSamplesCountLittle(t *testing.T) {
	var e Estimator

	e.Add(now, SampleOf(0.25))

	if got := e.Relative(now, 1); got < 0.3 || got > 0.7 {
		t.Errorf("after one sample of 0.25: got %.2f, want 0.3 to 0.7", got)
	}

	for range 50 {
		e.Add(now, SampleOf(0.25))
	}

	if got := e.Relative(now, 1); got > 0.3 {
		t.Errorf("after many samples of 0.25: got %.2f, want at most 0.3", got)
	}

	if got := e.Relative(now.Add(10*longHalfLife), 1); got < 0.9 {
		t.Errorf("after ten half-lives: got %.2f, want about 1", got)
	}
}

// Each server counts once in what is usual, however many requests it got.
func TestUsualCountsServersNotRequests(t *testing.T) {
	var slow, fast Estimator

	for range 100 {
		slow.Add(now, SampleOf(1))
	}

	for range 1000 {
		fast.Add(now, SampleOf(4))
	}

	if got := Usual(now, []*Estimator{&slow, &fast, {}}); math.Abs(got-2) > 0.05 {
		t.Errorf("usual rate: got %.2f, want 2", got)
	}
}

func TestSlownessDecaysAtTheRateAtWhichItWasSeenToEnd(t *testing.T) {
	var p Persistence

	slow, usual := 2.5, 1.0
	at := now

	for range 100 {
		before := Slowness{Value: slow, At: at}
		p.Observe(before, Slowness{Value: slow, At: at.Add(50 * time.Millisecond)})
		p.Observe(Slowness{Value: slow, At: at.Add(50 * time.Millisecond)}, Slowness{Value: usual, At: at.Add(150 * time.Millisecond)})
		at = at.Add(time.Second)
	}

	if got := p.Time(); got < 80*time.Millisecond || got > 130*time.Millisecond {
		t.Errorf("persistence: got %v, want about 100ms", got)
	}

	s := Slowness{Value: slow, At: now}
	if got := s.Expected(now, p.Time()); got != slow {
		t.Errorf("slowness at its time: got %v, want %v", got, slow)
	}

	if got := s.Expected(now.Add(time.Second), p.Time()); got > 1.01 {
		t.Errorf("slowness after a second: got %v, want about 1", got)
	}
}

// A server that always tells the same figure is at its usual slowness.
func TestConstantFigureIsUsual(t *testing.T) {
	for _, figure := range []float64{MinSlowness, 3, MaxSlowness} {
		var b Baseline

		before := Slowness{}
		for i := range 200 {
			next := Slowness{Value: figure, At: now.Add(time.Duration(i) * time.Second)}
			b.Observe(before, next)
			before = next
		}

		if got := b.Relative(before).Value; math.Abs(got-1) > 0.15 {
			t.Errorf("figure %v: got %.2f, want about 1", figure, got)
		}
	}
}

func TestServerThatAlwaysTellsAnUnusualFigureKeepsPersistenceBounded(t *testing.T) {
	var p Persistence

	start := time.Unix(1_700_000_000, 0)
	for i := range 10_000 {
		before := Slowness{Value: 2.5, At: start.Add(time.Duration(i) * 100 * time.Millisecond)}
		p.Observe(before, Slowness{Value: 2.5, At: before.At.Add(100 * time.Millisecond)})
	}

	if got, want := p.Time(), time.Second; got > want {
		t.Errorf("persistence: got %v, want at most %v", got, want)
	}
}
