package resumption

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/topology"
)

// network connects the trackers of several instances. Messages to a dead instance are lost, and a
// share of all others.
type network struct {
	mu      sync.Mutex
	random  *rand.Rand
	lost    float64
	members []topology.Member
	// holders are the members that may hold records.
	holders  []topology.Member
	trackers map[fleet.InstanceID]*Tracker
	dead     map[fleet.InstanceID]bool
	// outOfStep is an instance that is out of step, and reach how. held are the messages to it while it
	// stands still.
	outOfStep fleet.InstanceID
	reach     reach
	held      []func()
	// messages counts the messages of each kind.
	records, queries int
	// setup, if not nil, changes each tracker before it runs.
	setup func(t *Tracker)
}

const failureDomains = 5

// newNetwork starts instances, of which the first ones may hold records.
func newNetwork(ctx context.Context, instances, holders int, lost float64, seed uint64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 1)), lost: lost,
		trackers: make(map[fleet.InstanceID]*Tracker), dead: make(map[fleet.InstanceID]bool),
	}

	for i := range instances {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		n.members = append(n.members, topology.Member{ID: id, Domain: fleet.FailureDomain(fmt.Sprint("d", i%failureDomains))})
		n.start(ctx, id)
	}

	n.setHolders(n.members[:holders])

	return n
}

// start starts a process of an instance, without any records.
func (n *network) start(ctx context.Context, id fleet.InstanceID) {
	t := &Tracker{Clock: clock.NewSteady(), Self: id, Holders: func(c quarantine.Fingerprint) []fleet.InstanceID {
		return topology.Holders(uint64(c), n.knownHolders(), MaxHolders)
	}}
	t.Send = func(to fleet.InstanceID, records []Record) {
		n.deliver(id, to, &n.records, func(other *Tracker) { other.Receive(records) })
	}
	t.Ask = func(to fleet.InstanceID, q Query) {
		n.deliver(id, to, &n.queries, func(other *Tracker) {
			reply := other.HandleQuery(q)
			n.deliver(to, q.From, &n.queries, func(asking *Tracker) { asking.HandleReply(reply) })
		})
	}

	if n.setup != nil {
		n.setup(t)
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.trackers[id], n.dead[id] = t, false

	go t.Run(ctx)
}

func (n *network) deliver(from, to fleet.InstanceID, count *int, receive func(*Tracker)) {
	n.mu.Lock()
	*count++
	isCutOff := n.reach == cutOff && (from == n.outOfStep || to == n.outOfStep)
	t, isLost := n.trackers[to], isCutOff || n.dead[to] || n.random.Float64() < n.lost
	isHeld := n.reach == standsStill && to == n.outOfStep

	if isHeld && !isLost {
		n.held = append(n.held, func() { receive(t) })
	}
	n.mu.Unlock()

	if !isLost && !isHeld {
		receive(t)
	}
}

// knownHolders returns the members that may hold records, as all instances know them.
func (n *network) knownHolders() []topology.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.holders
}

// setHolders sets them.
func (n *network) setHolders(members []topology.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.holders = members
}

// kill has an instance neither send nor receive.
func (n *network) kill(id fleet.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.dead[id] = true
}

// reach is how an instance is in step with the others, or out of it.
type reach int

const (
	inStep reach = iota
	// cutOff loses all messages from and to the instance.
	cutOff
	// standsStill holds messages to the instance until wakeTime after it goes on.
	standsStill
)

// wakeTime is the time from when an instance goes on until it has read what was sent to it meanwhile.
const wakeTime = 50 * time.Millisecond

// setReach sets how an instance is in step.
func (n *network) setReach(id fleet.InstanceID, r reach) {
	n.mu.Lock()
	defer n.mu.Unlock()

	held := n.held
	n.outOfStep, n.reach, n.held = id, r, nil

	time.AfterFunc(wakeTime, func() {
		for _, deliver := range held {
			deliver()
		}
	})
}

// maxUnknownShare is the part of the streams whose version may be unknown after a loss of instances.
const maxUnknownShare = 0.05

// checkOrigins has the caller of each stream return at the instance after the one that began it, or at
// the second one if that is dead.
func (n *network) checkOrigins(ctx context.Context, t *testing.T, streams int) {
	t.Helper()

	unknown := 0

	for i := range streams {
		at := n.members[(i+1)%len(n.members)].ID
		if n.dead[at] {
			at = n.members[1].ID
		}

		got, err := n.trackers[at].Origin(ctx, stream(i))

		switch {
		case errors.Is(err, ErrUnknown):
			unknown++
		case err != nil || got != origin(i):
			t.Errorf("stream %d: got %v, %v, want %v", i, got, err, origin(i))
		}
	}

	if float64(unknown) > maxUnknownShare*float64(streams) {
		t.Errorf("streams of unknown version: got %d of %d, want at most 1 in 20", unknown, streams)
	}
}

// Guards against streams whose version is forgotten with the instances that began them: callers
// return while a third of the instances, or a whole failure domain, is down or has just started
// again.
func TestOriginSurvivesKills(t *testing.T) {
	const (
		streams = 300
		lost    = 0.02
	)

	for _, size := range []struct{ instances, holders int }{{3, 3}, {9, 9}, {12, 12}, {50, 50}, {195, 12}, {986, 50}} {
		for name, killed := range map[string]func(i int) bool{
			"a third":          func(i int) bool { return i%3 == 0 },
			"a failure domain": func(i int) bool { return i%failureDomains == 0 },
		} {
			t.Run(fmt.Sprint(size.instances, " instances, ", size.holders, " holders, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					defer stop()

					n := newNetwork(ctx, size.instances, size.holders, lost, uint64(size.instances))

					for i := range streams {
						began := n.members[i%size.instances].ID
						n.trackers[began].Begun(stream(i), origin(i), time.Minute)
					}

					time.Sleep(time.Second)

					for i, m := range n.members {
						if killed(i) {
							n.kill(m.ID)
						}

						if killed(i) && i%2 == 0 {
							n.start(ctx, m.ID)
						}
					}

					n.checkOrigins(ctx, t, streams)
					stop()
					synctest.Wait()
				})
			})
		}
	}
}

// Guards against a rolling stop that takes one holder of a stream after the other: each hands its
// records over.
func TestOriginSurvivesRollingStop(t *testing.T) {
	const instances, streams = 9, 100

	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()

		n := newNetwork(ctx, instances, instances, 0, 1)

		for i := range streams {
			n.trackers[n.members[i%instances].ID].Begun(stream(i), origin(i), time.Minute)
		}

		all := n.members

		for i, m := range all {
			n.setHolders(slices.Concat(all[:i], all[i+1:]))
			n.trackers[m.ID].HandOver()
			time.Sleep(time.Second)
			n.kill(m.ID)
			n.start(ctx, m.ID)
			n.setHolders(all)
		}

		for i := range streams {
			if got, err := n.trackers[all[0].ID].Origin(ctx, stream(i)); err != nil || got != origin(i) {
				t.Errorf("stream %d: got %v, %v, want %v", i, got, err, origin(i))
			}
		}

		stop()
		synctest.Wait()
	})
}

// Guards against a return that waits for instances which don't reply, and against an answer where
// none knows.
func TestUnknownStreamIsFoundOutAtOnce(t *testing.T) {
	const (
		instances = 9
		atOnce    = 100 * time.Millisecond
	)

	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()

		n := newNetwork(ctx, instances, instances, 0, 1)

		for _, m := range n.members[1:] {
			n.kill(m.ID)
		}

		began := time.Now()
		_, err := n.trackers[n.members[0].ID].Origin(ctx, stream(1))

		if !errors.Is(err, ErrUnknown) || time.Since(began) > atOnce {
			t.Errorf("got %v after %v, want %v within %v", err, time.Since(began), ErrUnknown, atOnce)
		}

		stop()
		synctest.Wait()
	})
}

// Checks that each stream costs the same messages whatever the number of instances.
func TestMessagesOfStreamsDoNotGrowWithInstances(t *testing.T) {
	const streams = 100

	for _, holders := range []int{9, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()

			n := newNetwork(ctx, holders, holders, 0, 1)

			for i := range streams {
				n.trackers[n.members[i%holders].ID].Begun(stream(i), origin(i), time.Minute)
			}

			time.Sleep(time.Second)

			synctest.Wait()
			n.mu.Lock()
			defer n.mu.Unlock()

			if got, want := n.records, streams*Copies*sendsPerRecord; got > want {
				t.Errorf("%d holders: got %d messages, want at most %d", holders, got, want)
			}
		})
	}
}

func stream(i int) Stream {
	return Stream{
		Content: quarantine.FingerprintOf("acme", "POST", "a.example", "/talk/", fmt.Append(nil, i)),
		Attempt: AttemptOf(fmt.Sprint("attempt-", i)),
	}
}

func origin(i int) Origin {
	return Origin{Service: "llm", Version: fleet.Version(fmt.Sprint("v", i%2))}
}
