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
// server within its first event, or late in the stream.
const (
	playStep   = 10 * time.Millisecond
	reading    = 300 * time.Millisecond
	firstEvent = 30 * time.Millisecond
	streaming  = 3 * time.Second
	atBegin    = reading + firstEvent/2
	// told is the time in which all instances know of an end.
	told = time.Second
	late = reading + firstEvent + 800*time.Millisecond
	// sends is how often one stream is sent at most: three servers, and once more when its
	// caller comes back.
	sends = 4
)

// stream is a request that may be resumed.
type stream struct {
	content Fingerprint
	server  int
	began   time.Time
	sent    int
	harmful bool
}

// play is a service whose servers end under harmful requests, and by themselves.
type play struct {
	t       *testing.T
	random  *rand.Rand
	ledger  Ledger
	now     time.Time
	servers int
	// generation counts the starts of each server.
	generation []int
	streams    []*stream
	next       Fingerprint
	// innocent and refused count streams that end no servers, and sends of them that were
	// refused; ended counts servers that ended under a harmful one.
	innocent, refused, ended int
	// harmfulAt is when in its life a harmful stream ends its server.
	harmfulAt time.Duration
	// ends are the times at which servers ended under each harmful request, and later counts
	// its sends after the third.
	ends  map[Fingerprint][]time.Time
	later map[Fingerprint]int
}

func (p *play) start(server int) register.Process {
	return register.Process{ID: fleet.InstanceID(rune(server)), Incarnation: fleet.Incarnation(p.generation[server])}
}

// send sends a stream to a server drawn at random, unless it is held off.
func (p *play) send(s *stream) bool {
	if _, held := p.ledger.Quarantined(p.now, s.content); held {
		if !s.harmful {
			p.refused++
		}

		return false
	}

	if s.sent == sends {
		return false
	}

	if ends := p.ends[s.content]; len(ends) >= enough && p.now.Sub(ends[enough-1]) > told {
		p.later[s.content]++
	}

	s.sent++
	s.server, s.began = p.random.IntN(p.servers), p.now

	return true
}

// end ends a server with all that runs there; announced ends do not count.
func (p *play) end(server int, announced bool) {
	kept := p.streams[:0]

	var lost []*stream

	for _, s := range p.streams {
		if s.server != server {
			kept = append(kept, s)

			continue
		}

		if age := p.now.Sub(s.began); !announced {
			evidence := Weak
			if age >= reading && age < reading+firstEvent {
				evidence = Strong
			}

			p.ledger.RecordLoss(p.now, s.content, p.start(server), evidence)
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
func (p *play) step(perSecond float64) {
	p.now = p.now.Add(playStep)

	for p.random.Float64() < perSecond*playStep.Seconds() {
		p.next++
		p.innocent++

		if s := (&stream{content: p.next}); p.send(s) {
			p.streams = append(p.streams, s)
		}

		perSecond--
	}

	var harmful []*stream

	kept := p.streams[:0]

	for _, s := range p.streams {
		switch age := p.now.Sub(s.began); {
		case s.harmful && age >= p.harmfulAt:
			harmful = append(harmful, s)
		case age >= reading+streaming:
			p.ledger.RecordAnswer(p.now, s.content)

			continue
		}

		kept = append(kept, s)
	}

	p.streams = kept

	for _, s := range harmful {
		p.ended++
		p.ends[s.content] = append(p.ends[s.content], p.now)
		p.end(s.server, false)
	}
}

// Beside harmful requests, of which a new one comes every few seconds, and one more copy of
// it every 0.7 s, with a fifth of the servers lost at once without notice every ten seconds
// and a third reclaimed with notice every seven, no other request is refused. A harmful one
// that ends its servers at its begin ends three, and what it had been sent to before the
// third ended; whenever it does, it is sent three times more at most once the instances have
// had a second to tell each other.
func TestRequestsBesideAHarmfulOneAreServed(t *testing.T) {
	for name, tt := range map[string]struct {
		harmfulAt, every time.Duration
	}{
		"at its begin":       {harmfulAt: atBegin, every: 4 * time.Second},
		"late in the stream": {harmfulAt: late, every: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { playHarmful(t, tt.harmfulAt, tt.every) })
	}
}

// playHarmful plays harmful streams that end their servers at a time of their life, with a
// new one every so often.
func playHarmful(t *testing.T, harmfulAt, every time.Duration) {
	t.Helper()

	const (
		span   = 60 * time.Second
		perDay = 40.0
		// mostAtBegin is how often one that ends its servers at its begin is sent, and
		// mostLater how often any is once told has passed since it ended the third.
		mostAtBegin = 4
		mostLater   = 3
	)

	innocent, refused := 0, 0

	for _, servers := range []int{9, 60, 78} {
		for seed := range uint64(5) {
			p := &play{
				t: t, random: rand.New(rand.NewPCG(seed, uint64(servers))), now: begin, servers: servers,
				generation: make([]int, servers), next: 1 << 32, harmfulAt: harmfulAt,
				ends: make(map[Fingerprint][]time.Time), later: make(map[Fingerprint]int),
			}

			copies := 0

			for at := time.Duration(0); at < span; at += playStep {
				if at%(700*time.Millisecond) == 0 {
					s := &stream{content: Fingerprint(at / every), harmful: true}
					if p.send(s) {
						copies++
						p.streams = append(p.streams, s)
					}
				}

				p.lose(at)
				p.step(perDay)
			}

			if most := mostAtBegin * int(span/every); harmfulAt == atBegin && copies > most {
				t.Errorf("%d servers, seed %d: got %d sends of harmful requests, want at most %d", servers, seed, copies, most)
			}

			for content, later := range p.later {
				if later > mostLater {
					t.Errorf("%d servers, seed %d, request %v: got %d sends after it had ended three, want at most %d",
						servers, seed, content, later, mostLater)
				}
			}

			innocent, refused = innocent+p.innocent, refused+p.refused
		}
	}

	t.Logf("%d requests beside harmful ones, %d refused", innocent, refused)

	if refused > 0 {
		t.Errorf("requests beside harmful ones: got %d of %d refused, want none", refused, innocent)
	}
}

// lose ends servers for other reasons than a harmful request.
func (p *play) lose(at time.Duration) {
	if at%(10*time.Second) == 5*time.Second {
		for range max(p.servers/5, 1) {
			p.end(p.random.IntN(p.servers), false)
		}
	}

	if at%(7*time.Second) == 3*time.Second {
		for server := range p.servers / 3 {
			p.end(server, true)
		}
	}
}
