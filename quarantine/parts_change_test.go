package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// turning is a scenario of parts that callers send for ten seconds while they do no harm, and then as
// often while they do.
func turning(instances int, before, after float64, parts ...string) partScenario {
	return partScenario{
		instances: instances, sound: 20, soundRate: before, harmful: after, subjects: 5, parts: parts, crashProbability: 1, soundFor: 12 * time.Second,
	}
}

func (s partScenario) restarting(after time.Duration) partScenario {
	s.restartAfter = after

	return s
}

// check plays a scenario with some seeds and checks what was sent and refused.
func (s partScenario) check(t *testing.T, seeds uint64, duration time.Duration) {
	t.Helper()

	for seed := range seeds {
		m := s.play(seed, duration)

		for _, part := range s.parts {
			if got := m.sentLate[part]; got > allowedSends {
				t.Errorf("seed %d: part %s was sent %d times after its fifth crash of %d and %v, want at most %d",
					seed, part, got, len(m.crashedAt[part]), contactTime, allowedSends)
			}
		}

		if got := 1 - float64(m.refused)/float64(max(m.sound, 1)); got < minSoundShare || m.sound == 0 {
			t.Errorf("seed %d: %.2f of %d sound requests were sent, want at least %.2f", seed, got, m.sound, minSoundShare)
		}
	}
}

// Guards against parts that crash servers for long since answers began on them before they did harm.
func TestPartThatTurnsHarmfulIsHeldOff(t *testing.T) {
	companion, otherCrashes := turning(9, 2, 2, "dead"), turning(9, 2, 2, "dead")
	companion.companion, otherCrashes.otherCrashes = true, true

	for name, s := range map[string]partScenario{
		"seldom sent before":        turning(9, 0.5, 2, "dead"),
		"sent before":               turning(9, 2, 2, "dead"),
		"often sent before":         turning(9, 6, 2, "dead"),
		"less often sent than once": turning(9, 2, 0.3, "dead"),
		"two parts":                 turning(9, 2, 2, "dead", "dread"),
		"a companion":               companion,
		"crashes of other causes":   otherCrashes,
		"1 instance":                turning(1, 2, 2, "dead"),
		"8 instances":               turning(8, 2, 2, "dead"),
		"72 instances":              turning(72, 2, 2, "dead"),
		"195 instances":             turning(195, 2, 2, "dead"),
		"986 instances":             turning(986, 2, 2, "dead"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			seeds, duration := uint64(6), 30*time.Second
			if s.instances > 9 {
				seeds = 1
			}

			if s.harmful < 1 {
				duration = 70 * time.Second
			}

			s.check(t, seeds, duration)
		})
	}
}

// Guards against a start of all instances after which the part that all requests have in common is
// held off in place of the harmful ones, or these are sent again.
func TestPartsStayToldApartAfterRestart(t *testing.T) {
	for name, s := range map[string]partScenario{
		"one part":                       turning(9, 0, 2, "dead").restarting(3 * time.Second),
		"two parts":                      turning(9, 0, 2, "dead", "dread").restarting(3 * time.Second),
		"two parts, just held off":       turning(9, 0, 2, "dead", "dread").restarting(partStep),
		"two parts, seldom sent":         turning(9, 0, 0.3, "dead", "dread").restarting(3 * time.Second),
		"two parts, often sent":          turning(9, 0, 8, "dead", "dread").restarting(3 * time.Second),
		"two that turned, seldom sent":   turning(9, 2, 0.3, "dead", "dread").restarting(3 * time.Second),
		"two parts that turned harmful":  turning(9, 2, 2, "dead", "dread").restarting(3 * time.Second),
		"three parts":                    turning(9, 0, 2, "dead", "dread", "dire").restarting(3 * time.Second),
		"two parts, 72 instances":        turning(72, 0, 2, "dead", "dread").restarting(3 * time.Second),
		"one part that turned, 30 s ago": turning(9, 2, 2, "dead").restarting(30 * time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			seeds, duration := uint64(6), 30*time.Second
			if s.instances > 9 {
				seeds = 1
			}

			if s.harmful < 1 || s.restartAfter > 10*time.Second {
				duration = 70 * time.Second
			}

			s.check(t, seeds, duration)
		})
	}
}

// Guards against sound requests that are held off since two harmful parts come with a part that all
// requests have.
func TestCommonPartIsHeldOffOnlyBesideHarmfulOnes(t *testing.T) {
	var p Parts

	for i := range 4 {
		harmful := "dead"
		if i%2 == 1 {
			harmful = "dread"
		}

		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Second), crashed(i), PartKeys("llm", []string{"all", harmful, "own"}))
	}

	if part, held := p.Held(PartKeys("llm", []string{"all", "own"})); held {
		t.Errorf("sound request: got it held off for %v, want it sent", part)
	}

	for _, harmful := range []string{"dead", "dread"} {
		if _, held := p.Held(PartKeys("llm", []string{"all", harmful, "own"})); !held {
			t.Errorf("request with part %s: got it sent, want it held off", harmful)
		}
	}
}

// Guards against crashes that are forgotten in a start of all since they were not yet enough to hold a
// part off.
func TestCrashesBeforeRestartCountAfterIt(t *testing.T) {
	const interval = 12 * time.Second

	part := PartKeys("llm", []string{"dead", "own"})

	var before, after Parts

	before.RecordCrash(partsNow, crashed(0), part)
	before.RecordCrash(partsNow.Add(interval), crashed(1), part)

	restart := partsNow.Add(2 * interval)
	after.Merge(restart, before.StoredReports(restart), false)
	after.RecordCrash(restart.Add(time.Second), crashed(2), part)

	if _, held := after.Held(part); !held {
		t.Error("third crash, after a start of all: got a part that is not held off, want it held off")
	}
}

// Guards against crashes of several records that seem to be at one moment, since all are read at once.
func TestCrashesOfSeveralRecordsKeepTheirTimes(t *testing.T) {
	const interval = 4 * time.Second

	part := PartKeys("llm", []string{"dead", "own"})
	read := partsNow.Add(3 * interval)

	var after Parts

	for i := range 3 {
		var observer Parts

		at := partsNow.Add(time.Duration(i) * interval)
		observer.RecordCrash(at, crashed(i), part)
		after.MergeRecorded(read, at, observer.StoredReports(at))
	}

	if _, held := after.Held(part); !held {
		t.Error("three crashes, each in a record of its own: got a part that is not held off, want it held off")
	}
}

// Guards against a part that is let go in a start of all since its crashes seem to be at one moment: the
// clock of the instance that recorded them is ahead, or the records are older than any should be.
func TestRecordedCrashesStayApartWhateverTheAgeOfRecords(t *testing.T) {
	const interval = 1500 * time.Millisecond

	part := PartKeys("llm", []string{"dead", "own"})

	for name, c := range map[string]struct{ ahead, after time.Duration }{
		"clock ahead": {ahead: 5 * time.Second, after: time.Second},
		"old records": {after: maxRecordAge + 10*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after Parts

			read := partsNow.Add(2*interval + c.after)

			for i := range 3 {
				at := partsNow.Add(time.Duration(i) * interval)
				before.RecordCrash(at, crashed(i), part)
				after.MergeRecorded(read, at.Add(c.ahead), before.StoredReports(at))
			}

			if _, held := before.Held(part); !held {
				t.Fatal("before: got a part that is not held off, want it held off")
			}

			if _, held := after.Held(part); !held {
				t.Error("after the records were read: got a part that is not held off, want it held off")
			}
		})
	}
}

// Guards against a part that is never held off by itself since each of its requests has other parts
// beside it.
func TestPartWhoseCompanionsAllDifferIsHeldOff(t *testing.T) {
	var p Parts

	for i := range 4 {
		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Second), crashed(i), PartKeys("llm", []string{fmt.Sprint("companion", i), "dead", "own"}))
	}

	if _, held := p.Held(PartKeys("llm", []string{"another", "dead", "own"})); !held {
		t.Error("request with another companion: got it sent, want it held off")
	}
}
