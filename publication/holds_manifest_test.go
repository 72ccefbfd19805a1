package publication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

const (
	followerCount = 3
	operatorCount = 3
	// tailWidth makes readers begin near the end of even a short log.
	tailWidth = 3
)

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// node is one instance through its incarnations.
type node struct {
	*Follower
	// shown is the greatest version that this incarnation has exposed.
	shown provider.Offset
	// floor is the least version that it may expose.
	floor provider.Offset
}

// operator is a person with a client, who has one publication at a time.
type operator struct {
	publisher *Publisher
	attempt   *attempt
}

// world is a log with its faults, the instances that follow it and the
// operators who publish on it.
type world struct {
	log       *faultyLog
	clock     *clock.Manual
	truth     *truth
	nodes     []*node
	operators []*operator
	random    *rand.Rand
	ids       int
	// trimsAnything drops records that no checkpoint stands for.
	trimsAnything bool
	void          map[ID]bool
	inForce       map[ID]provider.Offset
	verdicts      map[verdict]int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		log:           newFaultyLog(testStart),
		clock:         clock.NewManual(testStart),
		truth:         newTruth(),
		random:        rand.New(rand.NewPCG(1, 2)),
		trimsAnything: rapid.IntRange(0, 3).Draw(t, "trimsAnything") == 0,
		void:          map[ID]bool{},
		inForce:       map[ID]provider.Offset{},
		verdicts:      map[verdict]int{},
	}

	for range followerCount {
		w.nodes = append(w.nodes, w.newNode())
	}

	for range operatorCount {
		w.operators = append(w.operators, &operator{publisher: w.newPublisher()})
	}

	return w
}

func (w *world) newNode() *node {
	return &node{Follower: &Follower{Log: w.log, Clock: w.clock, Random: w.random, width: tailWidth}}
}

func (w *world) newPublisher() *Publisher {
	return &Publisher{Log: w.log, Clock: w.clock, Random: w.random, NewID: w.newID}
}

func (w *world) newID() ID {
	w.ids++

	return ID(fmt.Sprintf("id-%d", w.ids))
}

func (w *world) drawFault(t *rapid.T) {
	w.log.fault = faultNone
	w.log.limit = 0

	if rapid.Bool().Draw(t, "faulty") {
		w.log.fault = rapid.SampledFrom(likelyFaults).Draw(t, "fault")
		w.log.limit = rapid.IntRange(0, 3).Draw(t, "limit")
	}
}

// drawOperator returns one who has a publication under way or one who has not,
// nil where there is none. Skipping instead would end the run early.
func (w *world) drawOperator(t *rapid.T, busy bool) *operator {
	var eligible []*operator

	for _, o := range w.operators {
		if (o.attempt != nil) == busy {
			eligible = append(eligible, o)
		}
	}

	if len(eligible) == 0 {
		return nil
	}

	return rapid.SampledFrom(eligible).Draw(t, "operator")
}

func (w *world) drawNode(t *rapid.T, label string) *node {
	return w.nodes[rapid.IntRange(0, followerCount-1).Draw(t, label)]
}

// publish begins a publication from a version that the operator has seen at
// some time, most often the present one.
func (w *world) publish(t *rapid.T) {
	o := w.drawOperator(t, false)
	if o == nil {
		return
	}

	back := rapid.IntRange(0, 6).Draw(t, "back")
	if back > 2 {
		back = 0
	}

	base := w.truth.at[max(0, len(w.truth.at)-1-back)]
	record := Published{ID: w.newID(), DerivedFrom: base, Manifest: manifestNumbered(w.ids)}

	payload, err := Encode(record)
	if err != nil {
		t.Fatal(err)
	}

	o.attempt = newAttempt(record, payload)
	o.attempt.reader.width = tailWidth
}

// finish lets an operator go on without a fault for some steps.
func (w *world) finish(t *rapid.T) {
	o := w.drawOperator(t, true)
	if o == nil {
		return
	}

	w.log.fault = faultNone
	w.log.limit = 0

	for range 6 {
		if o.attempt != nil {
			w.step(t, o)
		}
	}
}

// catchUp lets a node read without a fault for some steps.
func (w *world) catchUp(t *rapid.T) {
	n := w.drawNode(t, "node")
	w.log.fault = faultNone
	w.log.limit = 0

	for range 3 {
		_ = n.step(context.Background(), 0)
		w.checkNode(t, 0, n)
	}
}

func (w *world) advance(t *rapid.T) {
	o := w.drawOperator(t, true)
	if o == nil {
		return
	}

	w.drawFault(t)
	w.step(t, o)
}

func (w *world) step(t *rapid.T, o *operator) {
	if o.attempt.next() != actionDone {
		_ = o.publisher.step(context.Background(), o.attempt, 0)
	}

	w.truth.follow(w.log)

	if o.attempt.next() == actionDone {
		w.tell(t, o)
	}
}

// tell checks what the operator is told and remembers it.
func (w *world) tell(t *rapid.T, o *operator) {
	a := o.attempt
	o.attempt = nil
	w.verdicts[a.verdict]++

	switch a.verdict {
	case verdictInForce:
		if got := w.truth.ids[a.target]; got != a.version || got == 0 {
			t.Fatalf("told in force as version %d, on the log it is %d", a.version, got)
		}

		w.inForce[a.target] = a.version
	case verdictVoid, verdictRefused, verdictVersionUnknown:
		w.void[a.target] = true
	default:
		// Nothing was told that could be wrong.
	}
}

// giveUp ends a publication early: by what is known if nothing was sent, by a
// fence otherwise.
func (w *world) giveUp(t *rapid.T) {
	o := w.drawOperator(t, true)
	if o == nil {
		return
	}

	a := o.attempt
	if a.giveUp {
		return
	}

	if !a.sent {
		w.void[a.target] = true
		o.attempt = nil

		return
	}

	fence := Fence{ID: w.newID(), DerivedFrom: a.base}

	payload, err := Encode(fence)
	if err != nil {
		t.Fatal(err)
	}

	o.attempt = newResolution(a.target, fence, payload)
}

func (w *world) follow(t *rapid.T) {
	n := w.drawNode(t, "node")
	w.drawFault(t)
	_ = n.step(context.Background(), 0)
}

func (w *world) restart(t *rapid.T) {
	i := rapid.IntRange(0, followerCount-1).Draw(t, "node")
	w.nodes[i] = w.newNode()
	// The log is up when the new incarnation reads it to its end, so it can
	// expose nothing older than what was in force at its start.
	w.nodes[i].floor = w.truth.inForce()
}

func (w *world) adopt(t *rapid.T) {
	n := w.drawNode(t, "node")
	peer := w.drawNode(t, "peer")

	c, ok := peer.Checkpoint()
	if !ok {
		return
	}

	if n.Adopt(c).Outcome() == Restored {
		n.floor = min(n.floor, c.Version)
	}

	if got := n.Adopt(c).Outcome(); got == Disagreeing {
		t.Fatalf("checkpoint of a peer: got %v", got)
	}
}

func (w *world) checkpoint(t *rapid.T) {
	n := w.drawNode(t, "node")
	if n.schedule == nil {
		return
	}

	n.schedule.due = testStart
	w.drawFault(t)
	_ = n.checkpoint(context.Background())
	w.truth.follow(w.log)
}

func (w *world) deliver(t *rapid.T) {
	if len(w.log.late) == 0 {
		return
	}

	w.log.deliver(rapid.IntRange(0, len(w.log.late)-1).Draw(t, "late"))
	w.truth.follow(w.log)
}

// foreign adds what no operator of this version writes.
func (w *world) foreign(t *rapid.T) {
	invalid, err := Encode(Published{ID: w.newID(), DerivedFrom: w.truth.inForce(), Manifest: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}

	base := rapid.SampledFrom(w.truth.at).Draw(t, "base")

	fence, err := Encode(Fence{ID: w.newID(), DerivedFrom: base})
	if err != nil {
		t.Fatal(err)
	}

	data := rapid.SampledFrom([][]byte{fence, invalid, {}, {9, 1, 2}, {format, 77}, {format, byte(kindFence), 0xff}}).Draw(t, "data")
	w.log.add(data)
	w.truth.follow(w.log)
}

// trim ages out a prefix.
func (w *world) trim(t *rapid.T) {
	last := w.log.next()
	if !w.trimsAnything {
		last = w.trimmable()
	}

	if last <= w.log.first {
		return
	}

	w.log.first = provider.Offset(rapid.Uint64Range(uint64(w.log.first), uint64(last)).Draw(t, "first"))
}

// trimmable returns the first offset that must stay so that a new reader finds
// a checkpoint to start from.
func (w *world) trimmable() provider.Offset {
	last := w.log.first

	for _, r := range w.log.records[w.log.first-1:] {
		record, _ := Decode(r.Data)
		if c, ok := record.(Checkpoint); ok && c.Through+1 <= r.Offset {
			last = max(last, c.Through+1)
		}
	}

	return last
}

// check holds after every action.
func (w *world) check(t *rapid.T) {
	for i, n := range w.nodes {
		w.checkNode(t, i, n)
	}

	for id := range w.void {
		if v, ok := w.truth.ids[id]; ok {
			t.Fatalf("%s was told void and is in force as version %d", id, v)
		}
	}

	for id, v := range w.inForce {
		if got := w.truth.ids[id]; got != v {
			t.Fatalf("%s was told in force as version %d, on the log it is %d", id, v, got)
		}
	}
}

func (w *world) checkNode(t *rapid.T, i int, n *node) {
	if n.reader == nil {
		return
	}

	state := n.reader.state
	if want := w.truth.at[state.Next()-1]; state.Known() && state.Version() != want {
		t.Fatalf("node %d before offset %d: got version %d, want %d", i, state.Next(), state.Version(), want)
	}

	v := n.view.Load()
	if v == nil {
		return
	}

	shown := v.snapshot
	if shown.version < n.shown {
		t.Fatalf("node %d went back from version %d to %d", i, n.shown, shown.version)
	}

	if shown.version < n.floor {
		t.Fatalf("node %d shows version %d, at its start %d was in force", i, shown.version, n.floor)
	}

	n.shown = shown.version

	want, ok := w.truth.versions[shown.version]
	if !ok || want.id != shown.id || want.source != string(shown.source) {
		t.Fatalf("node %d shows version %d, which was never in force like this", i, shown.version)
	}
}

// settle ends all faults and lets everybody finish.
func (w *world) settle(t *rapid.T) {
	w.log.fault = faultNone
	w.log.limit = 0

	for len(w.log.late) > 0 {
		w.log.deliver(0)
	}

	w.truth.follow(w.log)

	for range 40 {
		for _, o := range w.operators {
			if o.attempt != nil {
				w.step(t, o)
			}
		}

		for _, n := range w.nodes {
			if err := n.step(context.Background(), 0); err != nil {
				t.Fatalf("step without a fault: %v", err)
			}
		}

		w.check(t)
	}

	if w.trimsAnything {
		return
	}

	for i, n := range w.nodes {
		if got, want := n.Version(), w.truth.inForce(); got != want {
			t.Fatalf("node %d in the end: got version %d, want %d", i, got, want)
		}
	}

	for i, o := range w.operators {
		if o.attempt != nil {
			t.Fatalf("operator %d has no answer in the end", i)
		}
	}
}

// TestHoldsManifestNeverRevertsAndAnswersAreTrue lets operators race on a log
// that loses, repeats and delays appends and ages records out, while followers
// crash, restart and adopt from peers. No follower goes back, all that know the
// version at an offset agree on it, and what operators are told stays true.
func TestHoldsManifestNeverRevertsAndAnswersAreTrue(t *testing.T) {
	verdicts := map[verdict]int{}
	versions := 0

	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish":     w.publish,
			"publishMore": w.publish,
			"advance":     w.advance,
			"advanceMore": w.advance,
			"finish":      w.finish,
			"finishMore":  w.finish,
			"catchUp":     w.catchUp,
			"giveUp":      w.giveUp,
			"follow":      w.follow,
			"followMore":  w.follow,
			"restart":     w.restart,
			"adopt":       w.adopt,
			"checkpoint":  w.checkpoint,
			"deliver":     w.deliver,
			"foreign":     w.foreign,
			"trim":        w.trim,
			"":            w.check,
		})
		w.settle(t)

		versions += len(w.truth.versions) - 1

		for v, n := range w.verdicts {
			verdicts[v] += n
		}
	})

	t.Logf("versions in force: %d, verdicts: in force %d, void %d, refused %d, unknown %d, missed %d", versions,
		verdicts[verdictInForce], verdicts[verdictVoid], verdicts[verdictRefused],
		verdicts[verdictVersionUnknown], verdicts[verdictMissed])
}
