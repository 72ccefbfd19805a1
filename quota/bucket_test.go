package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newFullBucket returns a bucket of pacedAllowance, which refills 36,000 a second up to 72,000.
func newFullBucket() *bucket {
	b := &bucket{}
	b.start(start, pacedAllowance, 8*time.Second, 0)

	return b
}

func TestUnknownLevelFollowsFromWindow(t *testing.T) {
	for _, tc := range []struct {
		consumed, want float64
	}{
		{0, 72_000},
		{8 * 30_000, 72_000},
		{8*36_000 + 72_000 - 5000, 5000},
		{amount, 0},
	} {
		b := &bucket{}
		b.start(start, pacedAllowance, 8*time.Second, tc.consumed)

		if b.level != tc.want {
			t.Errorf("after %.0f consumed in the window: got a level of %.0f, want %.0f", tc.consumed, b.level, tc.want)
		}
	}
}

// A request of little urgency leaves what urgent ones need, and a large one needs no more than a
// tenth of the burst for each step of its priority.
func TestNeededLevelFollowsPriorityAndCost(t *testing.T) {
	for _, tc := range []struct {
		cost     float64
		priority int
		want     float64
	}{
		{600, 0, 600},
		{600, 1, 1200},
		{600, 2, 1800},
		{600, 9, 1800},
		{600, -1, 600},
		{54_600, 0, 7200},
		{54_600, 2, 21_600},
	} {
		if got := neededLevel(pacedAllowance, Charge{Cost: tc.cost, Priority: tc.priority}); got != tc.want {
			t.Errorf("cost %.0f at priority %d: needs a level of %.0f, want %.0f", tc.cost, tc.priority, got, tc.want)
		}
	}
}

// Late news of what others granted leaves no debt, and own grants do.
func TestOnlyOwnGrantsLeaveDebt(t *testing.T) {
	b := newFullBucket()
	b.takeRemote(300_000)

	if b.level != 0 {
		t.Errorf("after late news of others: got a level of %.0f, want 0", b.level)
	}

	b.take(Charge{Cost: 5000}, false)
	b.takeRemote(1000)

	if b.level != -5000 {
		t.Errorf("after an own grant and news of others: got a level of %.0f, want -5,000", b.level)
	}
}

// Whatever is granted, and however the rules change, a bucket grants at most its burst and what
// refills, and one request for each priority on top.
func TestHoldsBucketToRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1e6).Draw(t, "rate")
		burst := rapid.Float64Range(0.01, 10).Draw(t, "burst") * rate
		allowance := Allowance{Amount: 8*rate + burst, Rate: rate, Burst: burst}
		largest := rapid.Float64Range(0.001, 2).Draw(t, "largest") * allowance.Burst
		b := &bucket{}
		b.start(start, allowance, 8*time.Second, 0)

		now, granted := start, 0.0

		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "milliseconds")) * time.Millisecond)
			charge := Charge{Cost: rapid.Float64Range(0, 1).Draw(t, "cost") * largest, Priority: rapid.IntRange(-1, 4).Draw(t, "priority")}
			b.refill(now, allowance)

			ok, overdue := b.grants(allowance, charge)
			if !ok {
				wait := b.book(now, allowance, charge)
				if wait < minRetryAfter || wait > maxRetryAfter {
					t.Fatalf("wait: got %v, want between %v and %v", wait, minRetryAfter, maxRetryAfter)
				}

				continue
			}

			b.take(charge, overdue)
			granted += charge.Cost

			full := allowance.Burst + priorities*largestNeed*allowance.Burst + (1+priorities)*largest
			if most := full + rate*now.Sub(start).Seconds() + 1; granted > most {
				t.Fatalf("granted after %v: got %.0f, want at most %.0f", now.Sub(start), granted, most)
			}
		}
	})
}

// Refused callers are told to return one after the other, as the bucket refills. The urgent ones do
// not wait behind the others.
func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	b := newFullBucket()
	b.take(Charge{Cost: 72_000}, false)

	draft := Charge{Cost: 18_000, Priority: 2}

	for i, want := range []time.Duration{600 * time.Millisecond, 1100 * time.Millisecond, 1600 * time.Millisecond} {
		if got := b.book(start, pacedAllowance, draft); got != want {
			t.Errorf("draft %d: got %v, want %v", i, got, want)
		}
	}

	if got, want := b.book(start, pacedAllowance, Charge{Cost: 600}), minRetryAfter; got != want {
		t.Errorf("question behind drafts: got %v, want %v", got, want)
	}

	for range 100 {
		b.book(start, pacedAllowance, draft)
	}

	if got := b.book(start, pacedAllowance, draft); got != maxRetryAfter {
		t.Errorf("draft behind many: got %v, want %v", got, maxRetryAfter)
	}

	// Those that were told the longest time are not booked.
	b.refill(start.Add(maxRetryAfter+time.Second), pacedAllowance)

	if got := b.booked; got != [priorities]float64{} {
		t.Errorf("booked later: got %v, want nothing", got)
	}
}

// However many urgent requests there are, a large one that is not urgent is granted within the time
// in which its priority earns its credit, and no urgent one waits for what it costs.
func TestLargeRequestIsNotStarved(t *testing.T) {
	b := newFullBucket()
	credit := time.Duration(largestNeed * pacedAllowance.Burst / (overdueShare * pacedAllowance.Rate) * float64(time.Second))
	largest := Charge{Cost: 54_600, Priority: 9}

	var granted, questions []time.Duration

	for at := time.Duration(0); at < 200*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		b.refill(now, pacedAllowance)

		// Questions of twice the rate.
		question := Charge{Cost: 720}
		if ok, overdue := b.grants(pacedAllowance, question); ok {
			b.take(question, overdue)
			questions = append(questions, at)
		}

		if at%time.Second != 0 || at < 10*time.Second {
			continue
		}

		if ok, overdue := b.grants(pacedAllowance, largest); ok {
			b.take(largest, overdue)
			granted = append(granted, at)
		}
	}

	if len(granted) == 0 || granted[0] > 10*time.Second+credit+time.Second {
		t.Fatalf("large requests granted at: got %v, want one within %v", granted, credit+time.Second)
	}

	cycle := credit + time.Duration(largest.Cost/(overdueShare*pacedAllowance.Rate)*float64(time.Second)) + time.Second
	for i, at := range granted[1:] {
		if between := at - granted[i]; between > cycle {
			t.Errorf("time between large requests: got %v, want at most %v", between, cycle)
		}
	}

	for i, at := range questions[1:] {
		if gap := at - questions[i]; gap > 100*time.Millisecond {
			t.Errorf("time without a question at %v: got %v, want at most 100 ms", at, gap)
		}
	}
}

// A request that no window allows is not booked, so that others do not wait behind it.
func TestRequestAboveAllowanceIsNotBooked(t *testing.T) {
	b := newFullBucket()
	b.take(Charge{Cost: 72_000}, false)

	if got := b.book(start, pacedAllowance, Charge{Cost: 1e12}); got != maxRetryAfter {
		t.Errorf("wait of a request above the allowance: got %v, want %v", got, maxRetryAfter)
	}

	if got := b.book(start, pacedAllowance, Charge{Cost: 600}); got != minRetryAfter {
		t.Errorf("wait of the next request: got %v, want %v", got, minRetryAfter)
	}
}
