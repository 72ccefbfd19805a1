package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// The play of requests beside one that ends servers: its step, how long prompts are read,
// and how long the first event takes then and all of a stream. A harmful stream ends its
// server within its first event, or lateCrash in the stream.
const (
	stepInterval   = 10 * time.Millisecond
	prefillTime    = 300 * time.Millisecond
	firstEventTime = 30 * time.Millisecond
	streamTime     = 3 * time.Second
	earlyCrash     = prefillTime + firstEventTime/2
	// propagationTime is the time in which all instances know of an end.
	propagationTime = time.Second
	lateCrash       = prefillTime + firstEventTime + 800*time.Millisecond
	// maxSends is how often one stream is sent at most: three servers, and once more when its
	// caller comes back.
	maxSends = 4
)

// stream is a request that may be resumed.
type stream struct {
	content Fingerprint
	server  int
	began   time.Time
	sent    int
	harmful bool
}

// simulation is a service whose servers end under harmful requests, and by themselves.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	ledger  Ledger
	now     time.Time
	servers int
	// generation counts the starts of each server.
	generation []int
	streams    []*stream
	next       Fingerprint
	// harmless and refused count streams that end no servers, and sends of them that were
	// refused; crashes counts servers that crashes under a harmful one.
	harmless, refused, crashes int
	// crashAfter is when in its life a harmful stream ends its server.
	crashAfter time.Duration
	// lossTimes are the times at which servers ended under each harmful request, and later counts
	// its sends after the third.
	lossTimes map[Fingerprint][]time.Time
	lateSends map[Fingerprint]int
}

func (p *simulation) process(server int) register.Process {
	return register.Process{ID: fleet.InstanceID(rune(server)), Incarnation: fleet.Incarnation(p.generation[server])}
}

// send sends a stream to a server drawn at random, unless it is held off.
func (p *simulation) send(s *stream) bool {
	if _, held := p.ledger.Quarantined(p.now, s.content); held {
		if !s.harmful {
			p.refused++
		}

		return false
	}

	if s.sent == maxSends {
		return false
	}

	if ends := p.lossTimes[s.content]; len(ends) >= quarantineThreshold && p.now.Sub(ends[quarantineThreshold-1]) > propagationTime {
		p.lateSends[s.content]++
	}

	s.sent++
	s.server, s.began = p.random.IntN(p.servers), p.now

	return true
}

// loseServer ends a server with all that runs there; announced ends do not count.
func (p *simulation) loseServer(server int, announced bool) {
	kept := p.streams[:0]

	var lost []*stream

	for _, s := range p.streams {
		if s.server != server {
			kept = append(kept, s)

			continue
		}

		if age := p.now.Sub(s.began); !announced {
			evidence := Weak
			if age >= prefillTime && age < prefillTime+firstEventTime {
				evidence = Strong
			}

			p.ledger.RecordLoss(p.now, s.content, p.process(server), evidence)
		}

		lost = append(lost, s)
	}

	p.streams = kept
	p.generation[server]++

	for _, s := range lost {
		if !s.harmful && p.send(s) {
			p.streams = append(p.streams, s)
		}
	}
}

// step plays one step, in which streams arrive, end, and end their servers.
func (p *simulation) step(perSecond float64) {
	p.now = p.now.Add(stepInterval)

	for p.random.Float64() < perSecond*stepInterval.Seconds() {
		p.next++
		p.harmless++

		if s := (&stream{content: p.next}); p.send(s) {
			p.streams = append(p.streams, s)
		}

		perSecond--
	}

	var harmful []*stream

	kept := p.streams[:0]

	for _, s := range p.streams {
		switch age := p.now.Sub(s.began); {
		case s.harmful && age >= p.crashAfter:
			harmful = append(harmful, s)
		case age >= prefillTime+streamTime:
			p.ledger.RecordAnswer(p.now, s.content)

			continue
		}

		kept = append(kept, s)
	}

	p.streams = kept

	for _, s := range harmful {
		p.crashes++
		p.lossTimes[s.content] = append(p.lossTimes[s.content], p.now)
		p.loseServer(s.server, false)
	}
}

// Beside harmful requests, of which a new one comes every few seconds, and one more copy of
// it every 0.7 s, with a fifth of the servers lost at once without notice every ten seconds
// and a third reclaimed with notice every seven, no other request is refused. A harmful one
// that ends its servers at its begin ends three, and what it had been sent to before the
// third ended; whenever it does, it is sent three times more at most once the instances have
// had a second to tell each other.
func TestRequestsBesideHarmfulOnesAreNotQuarantined(t *testing.T) {
	for name, tt := range map[string]struct {
		crashAfter, interval time.Duration
	}{
		"at its begin":       {crashAfter: earlyCrash, interval: 4 * time.Second},
		"late in the stream": {crashAfter: lateCrash, interval: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { simulateHarmfulStreams(t, tt.crashAfter, tt.interval) })
	}
}

// simulateHarmfulStreams plays harmful streams that end their servers at a time of their life, with a
// new one every so often.
func simulateHarmfulStreams(t *testing.T, crashAfter, interval time.Duration) {
	t.Helper()

	const (
		duration         = 60 * time.Second
		streamsPerSecond = 40.0
		// maxEarlySends is how often one that ends its servers at its begin is sent, and
		// mostLater how often any is once told has passed since it ended the third.
		maxEarlySends = 4
		maxLateSends  = 3
	)

	harmless, refused := 0, 0

	for _, servers := range []int{9, 60, 78} {
		for seed := range uint64(5) {
			p := &simulation{
				t: t, random: rand.New(rand.NewPCG(seed, uint64(servers))), now: begin, servers: servers,
				generation: make([]int, servers), next: 1 << 32, crashAfter: crashAfter,
				lossTimes: make(map[Fingerprint][]time.Time), lateSends: make(map[Fingerprint]int),
			}

			copies := 0

			for at := time.Duration(0); at < duration; at += stepInterval {
				if at%(700*time.Millisecond) == 0 {
					s := &stream{content: Fingerprint(at / interval), harmful: true}
					if p.send(s) {
						copies++
						p.streams = append(p.streams, s)
					}
				}

				p.injectServerLosses(at)
				p.step(streamsPerSecond)
			}

			if most := maxEarlySends * int(duration/interval); crashAfter == earlyCrash && copies > most {
				t.Errorf("%d servers, seed %d: got %d sends of harmful requests, want at most %d", servers, seed, copies, most)
			}

			for content, later := range p.lateSends {
				if later > maxLateSends {
					t.Errorf("%d servers, seed %d, request %v: got %d sends after it had ended three, want at most %d",
						servers, seed, content, later, maxLateSends)
				}
			}

			harmless, refused = harmless+p.harmless, refused+p.refused
		}
	}

	t.Logf("%d requests beside harmful ones, %d refused", harmless, refused)

	if refused > 0 {
		t.Errorf("requests beside harmful ones: got %d of %d refused, want none", refused, harmless)
	}
}

// injectServerLosses ends servers for other reasons than a harmful request.
func (p *simulation) injectServerLosses(at time.Duration) {
	if at%(10*time.Second) == 5*time.Second {
		for range max(p.servers/5, 1) {
			p.loseServer(p.random.IntN(p.servers), false)
		}
	}

	if at%(7*time.Second) == 3*time.Second {
		for server := range p.servers / 3 {
			p.loseServer(server, true)
		}
	}
}
