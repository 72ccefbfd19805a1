package answer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

const (
	testStep  = 50 * time.Millisecond
	testMoney = fleet.Account("account")
)

func testStorePolicy() StorePolicy {
	p := DefaultStorePolicy()
	p.LostAfter = 15 * time.Second
	p.Retention = time.Hour

	return p
}

// sampledToken is the next token of a text. It differs from one ownership to
// the next, as with sampling, and names the text that it continues.
func sampledToken(before []string, e Epoch) string {
	return fmt.Sprintf("%d/%x/%d@%s", len(before), DigestOf(before), e.Number, e.Owner)
}

// generation is a Runner at work on an entry instance.
type generation struct {
	epoch Epoch
	text  []string
}

// entry is one entry instance.
type entry struct {
	store  *Store
	dead   bool
	paused bool
	diesAt time.Time
	runs   map[RequestID]*generation
}

// judgedCaller follows one answer and checks each token that it gets.
type judgedCaller struct {
	at       EventID
	got      []string
	accepted bool
	outcome  string
}

type flight struct {
	from, to fleet.InstanceID
	batch    *Batch
}

// entries is a deployment of entry instances in four failure domains.
type entries struct {
	now     time.Time
	length  int
	born    int
	entries map[fleet.InstanceID]*entry
	flights []flight
	callers map[RequestID]*judgedCaller
	seenAt  time.Time
	lostAt  time.Time
}

// recovery is the time within which a lost instance's answers have been taken
// over and copied again.
const recovery = 3 * time.Second

var testDomains = []fleet.FailureDomain{"a", "b", "c", "d"}

func newEntries(t *rapid.T) *entries {
	w := &entries{
		now:     testStart,
		length:  rapid.IntRange(1, 10).Draw(t, "length"),
		entries: map[fleet.InstanceID]*entry{},
		callers: map[RequestID]*judgedCaller{},
	}
	policy := testStorePolicy()
	policy.Copies = rapid.IntRange(1, 2).Draw(t, "copies")

	for _, d := range testDomains {
		w.start(d, policy)
		w.start(d, policy)
	}

	w.refresh(t)

	return w
}

func (w *entries) start(d fleet.FailureDomain, p StorePolicy) {
	w.born++
	id := fleet.InstanceID(fmt.Sprintf("e%02d", w.born))
	w.entries[id] = &entry{
		store: &Store{Self: Member{ID: id, Incarnation: 1, Domain: d}, Policy: p},
		runs:  map[RequestID]*generation{},
	}
}

func (w *entries) ids() []fleet.InstanceID { return slices.Sorted(maps.Keys(w.entries)) }

func (w *entries) up(id fleet.InstanceID) bool { return !w.entries[id].dead && !w.entries[id].paused }

// refresh gives every instance that runs the present view of the others.
func (w *entries) refresh(t *rapid.T) {
	w.seenAt = w.now

	for _, id := range w.ids() {
		if !w.up(id) {
			continue
		}

		var others []Member

		for _, other := range w.ids() {
			e := w.entries[other]
			if other == id || !w.up(other) {
				continue
			}

			m := e.store.Self
			m.Leaving = !e.diesAt.IsZero()
			others = append(others, m)
		}

		w.do(t, id, w.entries[id].store.SetMembers(w.now, others))
	}
}

func (w *entries) do(t *rapid.T, id fleet.InstanceID, commands []StoreCommand) {
	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			w.flights = append(w.flights, flight{from: id, to: c.To, batch: c.Batch})
		case Accepted:
			w.callers[c.ID].accepted = true
		case Continue:
			w.entries[id].runs[c.Request.ID] = &generation{epoch: c.Epoch, text: c.Kept}
		case Stop:
			if g := w.entries[id].runs[c.ID]; g != nil && g.epoch == c.Epoch {
				delete(w.entries[id].runs, c.ID)
			}
		case Visible, FetchReply:
		default:
			t.Fatalf("unexpected command %T", c)
		}
	}
}

func (w *entries) accept(t *rapid.T, id fleet.InstanceID) {
	r := RequestID(fmt.Sprintf("r%d", len(w.callers)))
	w.callers[r] = &judgedCaller{at: EventID{Request: r}}
	epoch := Epoch{Owner: id, Incarnation: 1}
	w.entries[id].runs[r] = &generation{epoch: epoch}
	w.do(t, id, w.entries[id].store.Accept(w.now, Request{ID: r, Account: testMoney}))
}

func (w *entries) generate(t *rapid.T, id fleet.InstanceID, r RequestID) {
	e := w.entries[id]
	g := e.runs[r]

	if len(g.text) < w.length {
		token := sampledToken(g.text, g.epoch)
		offset := len(g.text)
		g.text = append(slices.Clone(g.text), token)
		w.do(t, id, e.store.Token(w.now, r, g.epoch, offset, token))

		return
	}

	delete(e.runs, r)
	w.do(t, id, e.store.End(w.now, r, g.epoch, Ending{Finish: "stop"}))
}

// deliver passes on one batch; those of one link keep their order.
func (w *entries) deliver(t *rapid.T, n int) {
	link := w.flights[n]
	n = slices.IndexFunc(w.flights, func(f flight) bool { return f.from == link.from && f.to == link.to })
	f := w.flights[n]

	if w.entries[f.to].paused {
		return
	}

	w.flights = slices.Delete(w.flights, n, n+1)

	if !w.entries[f.to].dead {
		w.do(t, f.to, w.entries[f.to].store.Receive(w.now, f.batch))
	}
}

func (w *entries) cut(from, to fleet.InstanceID) {
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return f.from == from && f.to == to })
}

// read lets a caller read at an instance; an instance that does not know the
// answer asks the others.
func (w *entries) read(t *rapid.T, c *judgedCaller, at fleet.InstanceID) {
	if c.outcome != "" {
		return
	}

	if got, want := w.entries[at].store.Read("another", c.at).State(), ReadUnknown; got != want {
		t.Fatalf("%s: another account: got %s, want %s", c.at.Request, got, want)
	}

	for _, id := range append([]fleet.InstanceID{at}, w.ids()...) {
		if !w.up(id) {
			continue
		}

		reading := w.entries[id].store.Read(testMoney, c.at)
		if !reading.readable() {
			continue
		}

		w.take(t, c, reading)

		return
	}
}

func (w *entries) take(t *rapid.T, c *judgedCaller, reading Reading) {
	if reading.State() == ReadDiffers {
		c.outcome = "refused: text differs"

		return
	}

	for _, token := range reading.Tokens() {
		want := fmt.Sprintf("%d/%x/", len(c.got), DigestOf(c.got))
		if !strings.HasPrefix(token, want) {
			t.Fatalf("%s: got token %s, want one that continues %s", c.at.Request, token, want)
		}

		c.got = append(c.got, token)
		c.at.Offset++
		c.at.Digest = c.at.Digest.Next(token)
	}

	end, ok := reading.Ending()
	if !ok {
		return
	}

	if end.Refusal != nil {
		c.outcome = "refused: " + string(end.Refusal.Reason)

		return
	}

	c.outcome = "whole"

	if got, want := len(c.got), w.length; got != want {
		t.Fatalf("%s: whole answer: got %d tokens, want %d", c.at.Request, got, want)
	}
}

// advance lets a time pass fairly: batches arrive, timers fire, instances
// whose notice has run out die and are replaced.
func (w *entries) advance(t *rapid.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testStep)

		for range len(w.flights) {
			if len(w.flights) > 0 {
				w.deliver(t, 0)
			}
		}

		for _, id := range w.ids() {
			if w.up(id) {
				w.do(t, id, w.entries[id].store.Tick(w.now))
			}
		}

		w.reap(t)

		if w.now.Sub(w.seenAt) >= 500*time.Millisecond {
			w.refresh(t)
		}
	}
}

func (w *entries) reap(_ *rapid.T) {
	for _, id := range w.ids() {
		e := w.entries[id]
		if !e.dead && !e.diesAt.IsZero() && !w.now.Before(e.diesAt) {
			w.kill(id)
		}
	}
}

func (w *entries) kill(id fleet.InstanceID) {
	e := w.entries[id]
	e.dead = true
	e.runs = map[RequestID]*generation{}
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return f.from == id })
	w.start(e.store.Self.Domain, e.store.Policy)
}

// reclaim announces the reclaim of a failure domain's instances.
func (w *entries) reclaim(t *rapid.T, d fleet.FailureDomain, notice time.Duration) {
	for _, id := range w.ids() {
		e := w.entries[id]
		if !w.up(id) || e.store.Self.Domain != d || !e.diesAt.IsZero() {
			continue
		}

		e.diesAt = w.now.Add(notice)
		w.do(t, id, e.store.Leave(w.now))
	}
}

func (w *entries) leavingDomains() map[fleet.FailureDomain]bool {
	out := map[fleet.FailureDomain]bool{}

	for _, id := range w.ids() {
		if e := w.entries[id]; !e.dead && !e.diesAt.IsZero() {
			out[e.store.Self.Domain] = true
		}
	}

	return out
}

func (w *entries) generateAll(t *rapid.T) {
	for _, id := range w.ids() {
		if !w.up(id) {
			continue
		}

		for _, r := range slices.Sorted(maps.Keys(w.entries[id].runs)) {
			w.generate(t, id, r)
		}
	}
}

// settle lets everything run on without new faults.
func (w *entries) settle(t *rapid.T) {
	for _, e := range w.entries {
		e.paused = false
	}

	w.refresh(t)

	for range 40 {
		w.generateAll(t)
		w.advance(t, 500*time.Millisecond)

		for _, c := range w.callers {
			w.read(t, c, w.ids()[0])
		}
	}
}

func (w *entries) anyUp(t *rapid.T) fleet.InstanceID {
	ids := slices.DeleteFunc(w.ids(), func(id fleet.InstanceID) bool { return !w.up(id) })
	if len(ids) == 0 {
		t.Skip("no instance runs")
	}

	return rapid.SampledFrom(ids).Draw(t, "instance")
}

func (w *entries) anyCaller(t *rapid.T) *judgedCaller {
	if len(w.callers) == 0 {
		t.Skip("no caller yet")
	}

	return w.callers[rapid.SampledFrom(slices.Sorted(maps.Keys(w.callers))).Draw(t, "caller")]
}

func (w *entries) normalActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"accept": func(t *rapid.T) {
			id := w.anyUp(t)
			if len(w.callers) < 4 && w.entries[id].diesAt.IsZero() {
				w.accept(t, id)
			}
		},
		"generate": func(t *rapid.T) {
			id := w.anyUp(t)
			for _, r := range slices.Sorted(maps.Keys(w.entries[id].runs)) {
				w.generate(t, id, r)
			}
		},
		"generate everywhere": func(t *rapid.T) { w.generateAll(t) },
		"deliver": func(t *rapid.T) {
			if len(w.flights) > 0 {
				w.deliver(t, rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight"))
			}
		},
		"read": func(t *rapid.T) { w.read(t, w.anyCaller(t), w.anyUp(t)) },
		"advance": func(t *rapid.T) {
			w.advance(t, time.Duration(rapid.IntRange(1, 30).Draw(t, "steps"))*testStep)
		},
		"reclaim a failure domain": func(t *rapid.T) {
			d := rapid.SampledFrom(testDomains).Draw(t, "domain")
			leaving := w.leavingDomains()
			leaving[d] = true

			if len(leaving) <= 2 && w.now.Sub(w.lostAt) >= recovery {
				w.reclaim(t, d, time.Duration(rapid.IntRange(4, 10).Draw(t, "seconds"))*time.Second)
			}
		},
	}
}

// dieEarly kills an instance that has its notice, long before it has run out.
// Others do not leave within the time that the recovery takes.
func (w *entries) dieEarly(t *rapid.T) {
	id := w.anyUp(t)
	if w.entries[id].diesAt.IsZero() || len(w.leavingDomains()) > 1 || w.now.Sub(w.lostAt) < recovery {
		return
	}

	w.lostAt = w.now
	w.kill(id)
}

func (w *entries) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) { w.kill(w.anyUp(t)) },
		"kill an owner after its callers read": func(t *rapid.T) {
			id := w.anyUp(t)
			for _, c := range w.callers {
				w.read(t, c, id)
			}
			w.kill(id)
		},
		"cut": func(t *rapid.T) { w.cut(w.anyUp(t), w.anyUp(t)) },
		"pause": func(t *rapid.T) {
			w.entries[w.anyUp(t)].paused = true
		},
		"wake": func(*rapid.T) {
			for _, e := range w.entries {
				e.paused = false
			}
		},
		"membership": func(t *rapid.T) { w.refresh(t) },
	}
}

// judgeLost checks that a caller who waits in vain is told that the answer is
// not known, wherever it asks: all instances that had it died.
func (w *entries) judgeLost(t *rapid.T, c *judgedCaller) {
	if c.outcome != "" {
		return
	}

	for _, id := range w.ids() {
		if !w.up(id) {
			continue
		}

		if got, want := w.entries[id].store.Read(testMoney, c.at).State(), ReadUnknown; got != want {
			t.Fatalf("%s hangs at %s: got %s, want %s", c.at.Request, id, got, want)
		}
	}
}

// TestHoldsWholeAnswerAcrossInstances checks that no caller ever gets a token
// that does not continue exactly the text that it has, nor an end before the
// whole text, nor hangs, whatever happens to the entry instances.
func TestHoldsWholeAnswerAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEntries(t)
		actions := w.normalActions()
		maps.Copy(actions, w.faults())
		t.Repeat(actions)
		w.settle(t)

		for _, r := range slices.Sorted(maps.Keys(w.callers)) {
			w.judgeLost(t, w.callers[r])
		}
	})
}

// reclaimAndDie announces a reclaim in which an instance dies at once, right
// after callers have read what it has.
func (w *entries) reclaimAndDie(t *rapid.T) {
	id := w.anyUp(t)
	if len(w.leavingDomains()) > 0 || w.now.Sub(w.lostAt) < recovery {
		return
	}

	for _, r := range slices.Sorted(maps.Keys(w.callers)) {
		w.read(t, w.callers[r], id)
	}

	w.reclaim(t, w.entries[id].store.Self.Domain, 2*recovery)
	w.lostAt = w.now
	w.kill(id)
}

// TestHoldsAcceptedSurvivesReclaim checks that every accepted request gets its
// whole answer through any announced reclaims, two failure domains at a time,
// also if an instance dies in the midst of one.
func TestHoldsAcceptedSurvivesReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEntries(t)
		actions := w.normalActions()
		actions["die in the midst of a reclaim"] = w.dieEarly
		actions["reclaim, read, die"] = func(t *rapid.T) {
			w.reclaimAndDie(t)
		}
		t.Repeat(actions)
		w.settle(t)

		for _, r := range slices.Sorted(maps.Keys(w.callers)) {
			c := w.callers[r]
			if got, want := c.outcome, "whole"; c.accepted && got != want {
				t.Fatalf("%s was accepted: got %q after %d of %d tokens, want %q", r, got, len(c.got), w.length, want)
			}
		}
	})
}
