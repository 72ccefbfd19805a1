package detour

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
)

func helperNamed(n int) Helper {
	return Helper{ID: fleet.InstanceID(fmt.Sprint("entry-", n)), Address: fmt.Sprintf("127.0.0.%d:7600", n%250+1)}
}

// Guards against requests that are offered to an instance which can't reach the service either.
func TestHelpersWithoutPathAreNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &Helpers{Self: "entry-1"}
	h.Record(now, helperNamed(1), nil)
	h.Record(now, helperNamed(2), []fleet.Service{"api"})

	if got, want := h.Available(now, "api"), false; got != want {
		t.Errorf("available for api: got %v, want %v", got, want)
	}

	if got, want := h.Available(now, "llm"), true; got != want {
		t.Errorf("available for llm: got %v, want %v", got, want)
	}

	h.RecordNamed(now, helperNamed(2))

	if got, want := h.Available(now, "api"), false; got != want {
		t.Errorf("available for api by hearsay: got %v, want %v", got, want)
	}

	if got, want := h.Available(now.Add(helperTTL+time.Millisecond), "llm"), false; got != want {
		t.Errorf("available from a silent instance: got %v, want %v", got, want)
	}
}

// Guards against repeated offers to an instance that failed a moment ago while another is left, and
// against requests that are rejected although the only instance left may take them.
func TestFailedHelperIsChosenLast(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &Helpers{Self: "entry-1"}
	h.Record(now, helperNamed(2), nil)

	failed, _, ok := h.choose(now, "api", nil)
	if !ok {
		t.Fatal("choose: got none, want entry-2")
	}

	h.release(now, failed.ID, "api", true)

	if again, _, ok := h.choose(now, "api", nil); !ok || again.ID != failed.ID {
		t.Errorf("the only one left: got %v, %v, want %v", again.ID, ok, failed.ID)
	}

	if _, _, ok := h.choose(now, "api", []fleet.InstanceID{failed.ID}); ok {
		t.Error("tried for the same request: got it again, want none")
	}

	h.Record(now, helperNamed(3), nil)

	for range 50 {
		if other, _, _ := h.choose(now, "api", nil); other.ID == failed.ID {
			t.Fatalf("another is left: got %v, want the other", other.ID)
		}
	}

	now = now.Add(failureAvoidance)
	h.Record(now, helperNamed(2), nil)
	h.Record(now, helperNamed(3), nil)

	found := false
	for range 50 {
		other, _, _ := h.choose(now, "api", nil)
		found = found || other.ID == failed.ID
		h.release(now, other.ID, "api", false)
	}

	if !found {
		t.Error("after the avoidance: got it never, want it again")
	}
}

// Checks that the requests of many partitioned instances are spread over the instances that help,
// although each knows only those that its relay named: none serves over four times the mean.
func TestHelpIsSpreadOverManyInstances(t *testing.T) {
	const (
		maxTimesMean = 4
		rounds       = 12
		perInstance  = 40
	)

	for _, instances := range []int{9, 80, 195, 410} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			now := time.Unix(1000, 0)
			partitioned := instances / 4
			relay := &Helpers{Self: "relay"}
			served := make(map[fleet.InstanceID]int)

			// The instances subscribe to relays of their own domain. The helpers of each relay
			// are those of its own group and of the other relays.
			for group := range max((instances-partitioned)/20, 1) {
				for n := range min(20, instances-partitioned) {
					relay.Record(now, helperNamed(1000+group*20+n), nil)
				}
			}

			for range partitioned {
				own := &Helpers{Self: "own"}
				for range rounds {
					for _, helper := range relay.Sample(now, 4, []fleet.Service{"api"}, "own") {
						own.RecordNamed(now, helper)
					}
				}

				for range perInstance {
					helper, _, ok := own.choose(now, "api", nil)
					if !ok {
						t.Fatal("choose: got none, want an instance")
					}

					served[helper.ID]++
				}
			}

			mean := float64(partitioned*perInstance) / float64(len(relay.known))
			for id, n := range served {
				if float64(n) > maxTimesMean*mean && n > perInstance {
					t.Errorf("%s: got %d requests, want at most %d times the mean of %.1f", id, n, maxTimesMean, mean)
				}
			}
		})
	}
}
