package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

var partsNow = time.Unix(1000, 0)

// crashed is a server process that crashes.
func crashed(i int) register.Process {
	return register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", i))}
}

// holdPart has a ledger hold a part off that stood at the begin of four answers.
func holdPart(p *Parts, part PartKey) {
	for i := range 4 {
		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Second), crashed(i), []PartKey{part})
	}
}

// Checks that the last part of a prompt, which belongs to the request alone, has no key, and that
// malformed lists are taken as they are.
func TestPartKeys(t *testing.T) {
	many := make([]string, 5000)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}

	for name, c := range map[string]struct {
		ids  []string
		want int
	}{
		"none":             {},
		"one":              {ids: []string{"a"}},
		"two":              {ids: []string{"a", "b"}, want: 1},
		"one twice":        {ids: []string{"a", "a", "b", "c"}, want: 2},
		"more than looked": {ids: many, want: maxPartKeys},
	} {
		if got := len(PartKeys("llm", c.ids)); got != c.want {
			t.Errorf("%s: got %d keys, want %d", name, got, c.want)
		}
	}

	if a, b := PartKeys("llm", []string{"a", "x"}), PartKeys("other", []string{"a", "x"}); a[0] == b[0] {
		t.Errorf("keys at two services: got %v for both, want different ones", a[0])
	}
}

// Guards against a start of all instances that forgets which parts are held off, and against reports
// that count more than once or depend on their order.
func TestStoredReportsHoldPartOff(t *testing.T) {
	part := PartKeys("llm", []string{"dead", "own"})

	var before Parts

	holdPart(&before, part[0])

	stored := before.StoredReports(partsNow.Add(10 * time.Second))
	if len(stored) > maxStoredReports {
		t.Errorf("stored: got %d reports, want at most %d", len(stored), maxStoredReports)
	}

	for seed := range uint64(10) {
		shuffled := append([]PartReport(nil), stored...)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })

		var after Parts

		for _, r := range shuffled {
			after.Merge(partsNow.Add(time.Minute), []PartReport{r, r}, false)
		}

		if _, held := after.Held(part); !held {
			t.Errorf("seed %d: got a part that is not held off, want it held off", seed)
		}
	}
}

// Guards against a hold that is lifted by itself, after which as many servers would crash again.
func TestPartStaysHeldOff(t *testing.T) {
	part := PartKeys("llm", []string{"dead", "own"})

	var p Parts

	holdPart(&p, part[0])
	p.RecordCrash(partsNow.Add(holdDuration/2), crashed(99), PartKeys("llm", []string{"other", "own"}))

	if _, held := p.Held(part); !held {
		t.Error("after hours: got a part that is not held off, want it held off")
	}
}

// Guards against parts that are taken for harmful since servers crashed at the same moment for
// another reason.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	part := PartKeys("llm", []string{"all", "own"})

	var p Parts

	for i := range 20 {
		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Millisecond), crashed(i), part)
	}

	if _, held := p.Held(part); held {
		t.Error("20 servers at one moment: got a part that is held off, want none")
	}
}

// Guards against a part that stays held off although others show that it is sound.
func TestBeginsClearPart(t *testing.T) {
	part := PartKeys("llm", []string{"all", "own"})

	var p, other Parts

	holdPart(&p, part[0])

	later := partsNow.Add(4 * time.Second)

	for i := range 4 {
		other.RecordBegin(later, fmt.Sprint("r", i), part)
	}

	other.Merge(later, p.PendingReports(later), false)

	if p.Merge(later, other.PendingReports(later), false); p.HeldCount() != 0 {
		t.Error("after four begins: got a part that is held off, want none")
	}
}

// Guards against memory that grows with each new part, crash or begin.
func TestPartsAreBounded(t *testing.T) {
	held := PartKeys("llm", []string{"dead", "own"})

	var p Parts

	holdPart(&p, held[0])

	for i := range 3 * maxRecentParts {
		keys := PartKeys("llm", []string{fmt.Sprint("part", i), "own"})
		p.RecordBegin(partsNow, fmt.Sprint("r", i), keys)

		if i%10 == 0 {
			p.RecordCrash(partsNow, crashed(i), keys)
		}
	}

	if got := len(p.suspects); got > maxPartSuspects {
		t.Errorf("suspects: got %d, want at most %d", got, maxPartSuspects)
	}

	if got := len(p.recent.parts); got > maxRecentParts {
		t.Errorf("remembered begins: got %d parts, want at most %d", got, maxRecentParts)
	}

	if _, isHeld := p.Held(held); !isHeld {
		t.Error("after many other parts: got one that is not held off, want it held off")
	}

	for i := range 1000 {
		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Second), crashed(100+i), held)
		p.RecordBegin(partsNow, fmt.Sprint("b", i), PartKeys("llm", []string{"part0", "own"}))
	}

	if got := p.suspects[held[0]].crashes; got > maxCrashesPerPart {
		t.Errorf("crashes: got %d, want at most %d", got, maxCrashesPerPart)
	}

	if got := len(p.suspects[held[0]].events); got > maxCrashesPerPart+maxBeginsPerPart {
		t.Errorf("events: got %d, want at most %d", got, maxCrashesPerPart+maxBeginsPerPart)
	}
}

// Guards against a sound part that is held off since it stands beside a harmful one in each crash.
func TestCompanionOfHarmfulPartIsNotHeldOff(t *testing.T) {
	harmful := PartKeys("llm", []string{"companion", "dead", "own"})
	sound := PartKeys("llm", []string{"companion", "own"})

	var p Parts

	p.RecordBegin(partsNow, "sound", sound)

	for i := range 4 {
		p.RecordCrash(partsNow.Add(time.Duration(i)*time.Second), crashed(i), harmful)
	}

	if _, held := p.Held(harmful); !held {
		t.Error("harmful request: got it sent, want it held off")
	}

	if part, held := p.Held(sound); held {
		t.Errorf("sound request: got it held off for %v, want it sent", part)
	}
}

// Guards against parts that are forgotten although expired ones have left room.
func TestExpiredSuspectsMakeRoom(t *testing.T) {
	var p Parts

	for i := range maxPartSuspects - 4 {
		p.RecordCrash(partsNow, crashed(i), PartKeys("llm", []string{fmt.Sprint("old", i), "own"}))
	}

	later := partsNow.Add(holdDuration + time.Hour)
	kept := 8

	for i := range kept {
		p.RecordCrash(later, crashed(i), PartKeys("llm", []string{fmt.Sprint("new", i), "own"}))
	}

	if got := len(p.suspects); got != kept {
		t.Errorf("suspects: got %d, want the %d new ones", got, kept)
	}
}

// Guards against a part that is held off although answers on it begin as often as servers crash.
func TestPartThatBeginsAsOftenIsNotHeldOff(t *testing.T) {
	const times = 8

	part := PartKeys("llm", []string{"all", "own"})

	var p Parts

	for i := range times {
		at := partsNow.Add(time.Duration(i) * time.Second)

		p.RecordBegin(at, fmt.Sprint("r", i), part)
		p.RecordCrash(at, crashed(i), part)

		if _, held := p.Held(part); held {
			t.Errorf("after %d crashes: got a part that is held off, want none", i+1)
		}
	}
}
