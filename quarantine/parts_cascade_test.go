package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// cascading is a scenario of harmful parts in short prompts, whose requests are sent on at once from each
// server that they crash.
func cascading(instances int, harmful float64, sends int, parts ...string) partScenario {
	return partScenario{
		instances: instances, sound: 60, harmful: harmful, subjects: 5, parts: parts, crashProbability: 1, sends: sends, short: true, delay: partStep,
	}
}

// Guards against a part that crashes many servers within a moment, by few requests that are sent on from
// server to server, and goes on to crash servers since so few moments are known.
func TestPartThatCrashesServersAtOneMomentIsHeldOff(t *testing.T) {
	turned, restarted := cascading(9, 0.5, 6, "dead"), cascading(9, 0.5, 6, "dead")
	turned.soundFor, turned.soundRate = 12*time.Second, 0.5
	restarted.restartAfter = 300 * time.Millisecond
	subjects := cascading(9, 0.5, 6, "dead")
	subjects.subjects = 200

	for name, s := range map[string]partScenario{
		"seldom sent":           cascading(9, 0.3, 6, "dead"),
		"sent by callers again": cascading(9, 0.5, 6, "dead"),
		"sent on once":          cascading(9, 0.5, 2, "dead"),
		"often sent":            cascading(9, 4, 6, "dead"),
		"two parts":             cascading(9, 0.5, 6, "dead", "dread"),
		"sound before":          turned,
		"all start again":       restarted,
		"many subjects":         subjects,
		"1 instance":            cascading(1, 0.5, 6, "dead"),
		"72 instances":          cascading(72, 0.5, 6, "dead"),
		"195 instances":         cascading(195, 0.5, 6, "dead"),
	} {
		for _, unanswered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unanswered %t", name, unanswered), func(t *testing.T) {
				t.Parallel()

				s := s
				s.unanswered = unanswered

				seeds := uint64(20)
				if s.instances > 9 {
					seeds = 4
				}

				s.check(t, seeds, 40*time.Second)
			})
		}
	}
}

// Guards against a part that is not held off, and against sound ones that are, since all requests of a
// server that crashes before it sends a header are suspects.
func TestHarmfulPartsAreToldFromAllThatWaited(t *testing.T) {
	for name, s := range partScenarios() {
		if s.instances > 100 {
			continue
		}

		s.unanswered = true

		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s.check(t, 6, 20*time.Second)
		})
	}
}

// Guards against sound parts that are held off since many servers end at one moment for another reason,
// just after a start of all or later, and requests are sent on from those that end to the next ones.
func TestLossOfManyServersHoldsNoPartOff(t *testing.T) {
	const (
		servers = 20
		seeds   = 6
		loss    = 8 * time.Second
	)

	for _, lost := range []int{5, 8, servers} {
		for _, within := range []time.Duration{0, 50 * time.Millisecond} {
			for _, sound := range []float64{20, 200, 1000} {
				for _, short := range []bool{false, true} {
					for _, subjects := range []int{5, 40, 200} {
						for _, started := range []time.Duration{0, loss - 200*time.Millisecond} {
							s := partScenario{
								instances: 4, sound: sound, subjects: subjects, sends: 6, short: short, delay: partStep,
								lost: lost, lostWithin: within, lossesAt: []time.Duration{loss}, startsAt: started,
							}
							name := fmt.Sprintf("%d within %v, %v a second, short %t, %d subjects, started at %v", lost, within, sound, short, subjects, started)

							t.Run(name, func(t *testing.T) {
								t.Parallel()

								for seed := range uint64(seeds) {
									s.unanswered = seed%2 == 1

									if n := s.play(seed, loss+6*time.Second).heldCount(); n > 0 {
										t.Errorf("seed %d: got %d parts held off, want none", seed, n)
									}
								}
							})
						}
					}
				}
			}
		}
	}
}

// heldCount returns the largest number of parts that an instance holds off.
func (m *partModel) heldCount() int {
	most := 0
	for _, p := range m.instances {
		most = max(most, p.HeldCount())
	}

	return most
}
