package answer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// network carries batches between replicators, encoded, with a delay.
type network struct {
	mu    sync.Mutex
	peers map[fleet.InstanceID]*Replicator
	links map[fleet.InstanceID]chan []byte
	// stalled holds until when an instance handles nothing that it receives.
	stalled map[fleet.InstanceID]time.Time
	sent    int
	bytes   int
}

func (n *network) stall(id fleet.InstanceID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.stalled[id] = time.Now().Add(d)
}

func (n *network) stallLeft(id fleet.InstanceID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	return time.Until(n.stalled[id])
}

func (n *network) Send(to fleet.InstanceID, b *Batch) {
	data, err := msgpack.Marshal(b)
	if err != nil {
		panic(err)
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if _, live := n.links[b.From]; !live {
		return
	}

	n.sent++
	n.bytes += len(data)

	if link, ok := n.links[to]; ok {
		link <- data
	}
}

func (n *network) totals() (int, int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.sent, n.bytes
}

func (n *network) deliver(ctx context.Context, id fleet.InstanceID, link chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-link:
			time.Sleep(max(1500*time.Microsecond, n.stallLeft(id)))

			var b Batch
			if err := msgpack.Unmarshal(data, &b); err != nil {
				panic(err)
			}

			n.peers[id].Receive(&b)
		}
	}
}

// site is a deployment of one entry instance in each of three failure domains.
type site struct {
	net     *network
	nodes   map[fleet.InstanceID]*Replicator
	cancel  map[fleet.InstanceID]context.CancelFunc
	ctx     map[fleet.InstanceID]context.Context
	group   sync.WaitGroup
	runners map[fleet.InstanceID]*Runner
	mu      sync.Mutex
	running map[fleet.InstanceID]context.CancelFunc
}

func newSite(t *testing.T) *site {
	t.Helper()

	s := &site{
		net: &network{
			peers: map[fleet.InstanceID]*Replicator{}, links: map[fleet.InstanceID]chan []byte{},
			stalled: map[fleet.InstanceID]time.Time{},
		},
		nodes:   map[fleet.InstanceID]*Replicator{},
		cancel:  map[fleet.InstanceID]context.CancelFunc{},
		ctx:     map[fleet.InstanceID]context.Context{},
		runners: map[fleet.InstanceID]*Runner{},
		running: map[fleet.InstanceID]context.CancelFunc{},
	}

	ids := []fleet.InstanceID{"a", "b", "c"}
	for _, id := range ids {
		s.add(t.Context(), id)
	}

	for _, id := range ids {
		s.start(id)
	}

	s.members("a", "b", "c")

	return s
}

func (s *site) add(parent context.Context, id fleet.InstanceID) {
	ctx, cancel := context.WithCancel(parent)
	engines := newFakeFleet(&fakeEngine{})
	s.runners[id] = &Runner{Clock: clock.System{}, Picker: engines, Engines: engines, Budget: unlimited{}, Limits: testLimits()}
	node := &Replicator{
		Clock:      clock.System{},
		Store:      &Store{Self: Member{ID: id, Incarnation: 1, Domain: fleet.FailureDomain(id)}, Policy: DefaultStorePolicy()},
		Sender:     s.net,
		FetchEvery: 50 * time.Millisecond,
		FetchTries: 100,
		Continue:   func(c Continue) { s.answer(ctx, id, c) },
		Stop:       func(Stop) { s.stop(id) },
	}
	s.nodes[id] = node
	s.cancel[id] = cancel
	s.ctx[id] = ctx
	s.net.peers[id] = node
	s.net.links[id] = make(chan []byte, 1000)
}

func (s *site) start(id fleet.InstanceID) {
	link := s.net.links[id]
	s.group.Go(func() { s.nodes[id].Run(s.ctx[id]) })
	s.group.Go(func() { s.net.deliver(s.ctx[id], id, link) })
}

func (s *site) answer(parent context.Context, id fleet.InstanceID, c Continue) {
	ctx, cancel := context.WithCancel(parent)

	s.mu.Lock()
	s.running[id] = cancel
	s.mu.Unlock()
	s.group.Go(func() {
		sink := s.nodes[id].Sink(c.Request.ID, c.Epoch)
		s.runners[id].Continue(ctx, c.Request, c.Epoch, c.Kept, sink)
	})
}

func (s *site) stop(id fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if cancel := s.running[id]; cancel != nil {
		cancel()
	}
}

func (s *site) members(ids ...fleet.InstanceID) {
	for _, id := range ids {
		var others []Member

		for _, other := range ids {
			if other != id {
				others = append(others, Member{ID: other, Incarnation: 1, Domain: fleet.FailureDomain(other)})
			}
		}

		s.nodes[id].SetMembers(others)
	}
}

// die ends an instance at once; the others learn of it a while later.
func (s *site) die(id fleet.InstanceID) {
	s.net.mu.Lock()
	delete(s.net.links, id)
	s.net.mu.Unlock()
	s.cancel[id]()
}

func (s *site) takeovers() int {
	n := 0
	for _, node := range s.nodes {
		n += node.Counts().Takeovers
	}

	return n
}

func (s *site) close() {
	for _, cancel := range s.cancel {
		cancel()
	}

	s.group.Wait()
}

// fakeCaller follows an answer and goes on elsewhere where it was cut off.
type fakeCaller struct {
	got   []string
	at    EventID
	ended bool
	first time.Time
}

func (c *fakeCaller) Write(id EventID, token string) error {
	if id.Offset != len(c.got)+1 {
		return fmt.Errorf("got offset %d, want %d", id.Offset, len(c.got)+1)
	}

	if c.first.IsZero() {
		c.first = time.Now()
	}

	c.got = append(c.got, token)
	c.at = id

	return nil
}

func (c *fakeCaller) End(e Ending) error {
	c.ended = e.Finish == "stop"

	return nil
}

func TestReplicatorCarriesAnAnswerAcrossInstances(t *testing.T) {
	tests := []struct {
		desc string
		at   time.Duration
		hurt func(s *site)
		// takeovers is how often the answer changes its owner.
		takeovers int
	}{
		{desc: "nothing happens", hurt: func(*site) {}},
		{desc: "the owner leaves", at: 300 * time.Millisecond, takeovers: 1, hurt: func(s *site) { s.nodes["a"].Leave() }},
		{desc: "the owner dies", at: 300 * time.Millisecond, takeovers: 1, hurt: func(s *site) {
			s.die("a")
			time.Sleep(time.Second)
			s.members("b", "c")
		}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				request := Request{ID: "r0", Account: "account", Deadline: time.Now().Add(time.Minute)}

				epoch, err := s.nodes["a"].Accept(t.Context(), request, time.Second)
				if err != nil {
					t.Fatalf("accept: got %v, want no error", err)
				}

				s.answer(s.ctx["a"], "a", Continue{Request: request, Epoch: epoch})
				s.group.Go(func() {
					time.Sleep(tt.at)
					tt.hurt(s)
				})

				c := &fakeCaller{at: EventID{Request: "r0"}}
				if err := s.nodes["c"].Follow(t.Context(), "account", c.at, c); err != nil {
					t.Errorf("follow: got %v, want no error", err)
				}

				if got, want := len(c.got), 20; got != want || !c.ended {
					t.Errorf("tokens: got %d, ended %v, want %d", got, c.ended, want)
				}

				if got, want := s.takeovers(), tt.takeovers; got != want {
					t.Errorf("takeovers: got %d, want %d", got, want)
				}

				for i, token := range c.got {
					if want := wantToken("r0", i); token != want {
						t.Errorf("token %d: got %q, want %q", i, token, want)
					}
				}

				s.close()
			})
		})
	}
}

func TestFollowRefuses(t *testing.T) {
	tests := []struct {
		desc    string
		account fleet.Account
		after   EventID
		want    error
	}{
		{desc: "another account", account: "other", after: EventID{Request: "r0"}, want: ErrUnknownAnswer},
		{desc: "a request that was never accepted", account: "account", after: EventID{Request: "r9"}, want: ErrUnknownAnswer},
		{desc: "a caller with another text", account: "account", after: EventID{Request: "r0", Offset: 1, Digest: 1}, want: ErrTextDiffers},
		{desc: "a caller with more than there is", account: "account", after: EventID{Request: "r0", Offset: 99}, want: ErrTextDiffers},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				request := Request{ID: "r0", Account: "account", Deadline: time.Now().Add(time.Minute)}

				epoch, err := s.nodes["a"].Accept(t.Context(), request, time.Second)
				if err != nil {
					t.Fatalf("accept: got %v, want no error", err)
				}

				s.answer(s.ctx["a"], "a", Continue{Request: request, Epoch: epoch})
				time.Sleep(5 * time.Second)

				got := s.nodes["b"].Follow(t.Context(), tt.account, tt.after, &fakeCaller{})
				if !errors.Is(got, tt.want) {
					t.Errorf("got %v, want %v", got, tt.want)
				}

				s.close()
			})
		})
	}
}

// TestAcceptWithoutACopy checks that a request which no other failure domain
// holds is not called accepted.
func TestAcceptWithoutACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.die("b")
		s.die("c")

		_, got := s.nodes["a"].Accept(t.Context(), Request{ID: "r0"}, time.Second)
		if want := ErrNoCopy; !errors.Is(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}

		s.close()
	})
}

// TestCostOfCopies prints what waiting for a copy adds to the first token, and
// what copies send, for docs/whole-answers.md.
func TestCostOfCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		start := time.Now()
		request := Request{ID: "r0", Account: "account", Deadline: time.Now().Add(time.Minute)}

		epoch, err := s.nodes["a"].Accept(t.Context(), request, time.Second)
		if err != nil {
			t.Fatalf("accept: got %v, want no error", err)
		}

		accepted := time.Since(start)
		s.answer(t.Context(), "a", Continue{Request: request, Epoch: epoch})

		generated := time.Now().Add(tokenGap)

		c := &fakeCaller{at: EventID{Request: "r0"}}
		if err := s.nodes["a"].Follow(t.Context(), "account", c.at, c); err != nil {
			t.Errorf("follow: got %v, want no error", err)
		}

		batches, bytes := s.net.totals()
		t.Logf("accepted after %v, first token %v later than generated, %d batches and %d bytes for %d tokens",
			accepted, c.first.Sub(generated), batches, bytes, len(c.got))

		if got, limit := c.first.Sub(generated), 10*time.Millisecond; got > limit {
			t.Errorf("first token: got %v later, want at most %v", got, limit)
		}

		s.close()
	})
}

func TestParseEventID(t *testing.T) {
	tests := []struct {
		desc string
		in   string
		want EventID
		bad  bool
	}{
		{desc: "whole", in: "r0.7.ff", want: EventID{Request: "r0", Offset: 7, Digest: 255}},
		{desc: "nothing seen yet", in: "r0.0", want: EventID{Request: "r0"}},
		{desc: "no digest", in: "r0.7", bad: true},
		{desc: "negative", in: "r0.-1.ff", bad: true},
		{desc: "no request", in: ".1.ff", bad: true},
		{desc: "too much", in: "r0.1.ff.x", bad: true},
		{desc: "empty", in: "", bad: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got, err := ParseEventID(tt.in)
			if got != tt.want || (err != nil) != tt.bad {
				t.Errorf("got %+v, %v, want %+v, error %v", got, err, tt.want, tt.bad)
			}

			if err != nil && !errors.Is(err, ErrEventID) {
				t.Errorf("error: got %v, want %v", err, ErrEventID)
			}

			if back, err := ParseEventID(got.String()); err == nil && back != got {
				t.Errorf("back: got %+v, want %+v", back, got)
			}
		})
	}
}
