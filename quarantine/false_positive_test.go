package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Parameters of the simulation: its step, the time to process a prompt, the time of the first
// event after that, and the time of the whole stream. A harmful stream crashes its server
// within its first event (earlyCrash), or later in the stream (lateCrash).
const (
	stepInterval   = 10 * time.Millisecond
	prefillTime    = 300 * time.Millisecond
	firstEventTime = 30 * time.Millisecond
	streamTime     = 3 * time.Second
	earlyCrash     = prefillTime + firstEventTime/2
	// propagationTime is the time within which all instances know of a server loss.
	propagationTime = time.Second
	lateCrash       = prefillTime + firstEventTime + 800*time.Millisecond
	// maxSends is how often one stream is sent at most: to three servers, and once more when
	// its caller repeats it.
	maxSends = 4
)

// stream is a resumable request.
type stream struct {
	content Fingerprint
	server  int
	began   time.Time
	sent    int
	harmful bool
}

// simulation is a service whose servers crash under harmful requests and are also lost for
// other reasons.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	ledger  Ledger
	now     time.Time
	servers int
	// generation counts the processes of each server.
	generation []int
	streams    []*stream
	next       Fingerprint
	// harmless counts streams that crash no server, and refused counts refused sends of them;
	// crashes counts servers crashed by harmful streams.
	harmless, refused, crashes int
	// crashAfter is the time from the send of a harmful stream to the crash of its server.
	crashAfter time.Duration
	// lossTimes holds the times at which servers crashed under each harmful request.
	// sendsAfterThirdLoss counts its sends more than propagationTime after the third crash.
	lossTimes           map[Fingerprint][]time.Time
	sendsAfterThirdLoss map[Fingerprint]int
}

func (p *simulation) process(server int) register.Process {
	return register.Process{ID: fleet.InstanceID(rune(server)), Incarnation: fleet.Incarnation(p.generation[server])}
}

// send sends a stream to a random server unless the stream is quarantined, and reports whether
// it was sent.
func (p *simulation) send(s *stream) bool {
	if _, quarantined := p.ledger.Quarantined(p.now, s.content); quarantined {
		if !s.harmful {
			p.refused++
		}

		return false
	}

	if s.sent == maxSends {
		return false
	}

	if crashes := p.lossTimes[s.content]; len(crashes) >= quarantineThreshold && p.now.Sub(crashes[quarantineThreshold-1]) > propagationTime {
		p.sendsAfterThirdLoss[s.content]++
	}

	s.sent++
	s.server, s.began = p.random.IntN(p.servers), p.now

	return true
}

// loseServer terminates a server with all streams that run there. Announced terminations are
// not recorded as losses.
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

// step simulates one step, in which streams arrive, complete and crash their servers.
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

// Guards against false positives: requests that run beside harmful ones must not be refused. A
// new harmful request comes every few seconds and is repeated every 0.7 s; a fifth of the
// servers is lost without notice every ten seconds and a third is reclaimed with notice every
// seven. A harmful request that crashes servers early must be sent at most maxEarlySends
// times, and any harmful request at most maxLateSends times once propagationTime has passed
// since the third crash.
func TestRequestsBesideHarmfulOnesAreNotQuarantined(t *testing.T) {
	for name, tt := range map[string]struct {
		crashAfter, interval time.Duration
	}{
		"early in the stream": {crashAfter: earlyCrash, interval: 4 * time.Second},
		"late in the stream":  {crashAfter: lateCrash, interval: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { simulateHarmfulStreams(t, tt.crashAfter, tt.interval) })
	}
}

// simulateHarmfulStreams simulates harmful streams that crash their servers crashAfter their
// send, with a new harmful request at each interval.
func simulateHarmfulStreams(t *testing.T, crashAfter, interval time.Duration) {
	t.Helper()

	const (
		duration         = 60 * time.Second
		streamsPerSecond = 40.0
		// maxEarlySends limits the sends of each harmful request that crashes its servers
		// early, and maxLateSends the sends of any harmful request once propagationTime has
		// passed since its third crash.
		maxEarlySends = 4
		maxLateSends  = 3
	)

	harmless, refused := 0, 0

	for _, servers := range []int{9, 60, 78} {
		for seed := range uint64(5) {
			p := &simulation{
				t: t, random: rand.New(rand.NewPCG(seed, uint64(servers))), now: begin, servers: servers,
				generation: make([]int, servers), next: 1 << 32, crashAfter: crashAfter,
				lossTimes: make(map[Fingerprint][]time.Time), sendsAfterThirdLoss: make(map[Fingerprint]int),
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

			for content, later := range p.sendsAfterThirdLoss {
				if later > maxLateSends {
					t.Errorf("%d servers, seed %d, request %v: got %d late sends after its third crash, want at most %d",
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

// injectServerLosses terminates servers for reasons other than a harmful request.
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
