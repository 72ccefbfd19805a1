package answer

import (
	"testing"
	"time"

	"monsoonlever/fleet"
)

// replacedCopy is an owner whose copy is silent, so that another instance is to
// take the copy's place.
type replacedCopy struct {
	now         time.Time
	owner       *Store
	copy        *Store
	replacement *Store
}

// newReplacedCopy accepts r0 at the owner and delivers it to its copy.
func newReplacedCopy() *replacedCopy {
	stores := make(map[fleet.InstanceID]*Store)

	var members []Member

	for _, id := range []fleet.InstanceID{"a", "b", "c"} {
		m := Member{ID: id, Incarnation: 1, Domain: fleet.FailureDomain(id)}
		members = append(members, m)
		stores[id] = &Store{Self: m, Policy: DefaultStorePolicy()}
	}

	owner := stores["a"]
	owner.SetMembers(testStart, members[1:])

	holder := owner.Candidates("r0")[0]
	r := &replacedCopy{now: testStart, owner: owner, copy: stores[holder]}

	for _, id := range owner.Candidates("r0")[1:] {
		r.replacement = stores[id]
	}

	r.copy.SetMembers(testStart, []Member{owner.Self, r.replacement.Self})
	r.replacement.SetMembers(testStart, []Member{owner.Self, r.copy.Self})
	r.deliver(r.copy, owner.Accept(testStart, Request{ID: "r0"}))

	return r
}

// deliver passes a batch of the owner for one instance on, and its reply back.
// What the owner sends to others is lost.
func (r *replacedCopy) deliver(to *Store, commands []StoreCommand) {
	for _, c := range commands {
		send, ok := c.(Send)
		if !ok || send.To != to.Self.ID {
			continue
		}

		for _, reply := range to.Receive(r.now, send.Batch) {
			if back, ok := reply.(Send); ok {
				r.deliver(to, r.owner.Receive(r.now, back.Batch))
			}
		}
	}
}

// killOwner makes the owner dead for its copy.
func (r *replacedCopy) killOwner() {
	r.copy.SetMembers(r.now, []Member{r.replacement.Self})

	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.copy.Tick(r.now)
	}
}

func (r *replacedCopy) checkCopyGoesOn(t *testing.T) {
	t.Helper()

	if got, want := r.copy.Owns("r0"), true; got != want {
		t.Errorf("the only instance that has the accepted request goes on with it: got %v, want %v", got, want)
	}
}

// TestSilentCopyIsKeptUntilReplaced guards against an accepted request that is
// lost with its owner: a slow copy was told to drop it before the instance in
// its place had it.
func TestSilentCopyIsKeptUntilReplaced(t *testing.T) {
	r := newReplacedCopy()
	r.owner.Token(r.now, "r0", Epoch{Owner: "a", Incarnation: 1}, 0, "x")

	// The copy gets what the owner sends, and its acknowledgements are late.
	for range 20 {
		r.now = r.now.Add(100 * time.Millisecond)

		for _, c := range r.owner.Tick(r.now) {
			if send, ok := c.(Send); ok && send.To == r.copy.Self.ID {
				r.copy.Receive(r.now, send.Batch)
			}
		}
	}

	r.killOwner()
	r.checkCopyGoesOn(t)
}

// TestCopyHeldDeadIsKeptUntilReplaced guards against the same loss after the
// owner wrongly held the instance of its copy dead.
func TestCopyHeldDeadIsKeptUntilReplaced(t *testing.T) {
	r := newReplacedCopy()
	r.owner.SetMembers(r.now, []Member{r.replacement.Self})
	r.owner.SetMembers(r.now, []Member{r.copy.Self, r.replacement.Self})

	for range 20 {
		r.now = r.now.Add(100 * time.Millisecond)

		for _, c := range r.copy.Tick(r.now) {
			if send, ok := c.(Send); ok && send.To == r.owner.Self.ID {
				r.deliver(r.copy, r.owner.Receive(r.now, send.Batch))
			}
		}
	}

	r.killOwner()
	r.checkCopyGoesOn(t)
}

// TestSupersededOwnerKeepsAnswerUntilReleased guards against an accepted request
// that is lost with the instance that took it over: the former owner, wrongly held
// dead, dropped it before any other instance had it.
func TestSupersededOwnerKeepsAnswerUntilReleased(t *testing.T) {
	r := newReplacedCopy()

	// The copy holds the owner dead and takes over; what it sends is lost, but the
	// news that there is a newer owner.
	r.copy.SetMembers(r.now, []Member{r.replacement.Self})
	r.owner.Token(r.now, "r0", Epoch{Owner: "a", Incarnation: 1}, 0, "x")
	r.now = r.now.Add(time.Second)
	r.deliver(r.copy, r.owner.Tick(r.now))

	if got, want := r.owner.Owns("r0"), false; got != want {
		t.Fatalf("the former owner still owns: got %v, want %v", got, want)
	}

	if got, want := r.owner.Read("", EventID{Request: "r0"}).State(), ReadUnknown; got != want {
		t.Errorf("the former owner's text: got %v, want %v", got, want)
	}

	r.owner.SetMembers(r.now, []Member{r.replacement.Self})

	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.owner.Tick(r.now)
	}

	if got, want := r.owner.Owns("r0"), true; got != want {
		t.Errorf("the only instance that has the accepted request goes on with it: got %v, want %v", got, want)
	}
}

// TestCopyDefendsWholeAnswer guards against a caller who waits in vain at an
// instance that took over with an old text: no instance with the whole answer
// contradicted it.
func TestCopyDefendsWholeAnswer(t *testing.T) {
	r := newReplacedCopy()
	epoch := Epoch{Owner: "a", Incarnation: 1}
	r.owner.Token(r.now, "r0", epoch, 0, "x")
	r.deliver(r.copy, r.owner.End(r.now, "r0", epoch, Ending{Finish: "stop"}))

	// The replacement has an older copy, and took over under a newer epoch.
	newer := Epoch{Number: 1, Owner: r.replacement.Self.ID, Incarnation: 1}
	begin := Begin{Request: Request{ID: "r0"}, Epoch: newer, Holders: []fleet.InstanceID{r.copy.Self.ID}}

	superseded := false

	for _, c := range r.copy.Receive(r.now, &Batch{From: r.replacement.Self.ID, Begins: []Begin{begin}}) {
		if send, ok := c.(Send); ok && send.To == r.replacement.Self.ID {
			superseded = superseded || len(send.Batch.Superseded) > 0
		}
	}

	if got, want := superseded, true; got != want {
		t.Errorf("the instance with the old text is told of the whole one: got %v, want %v", got, want)
	}
}
