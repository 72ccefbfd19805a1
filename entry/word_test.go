package entry

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/fleet"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/scheduling"
	"monsoonlever/topology"
	"monsoonlever/usage"
)

// What a word says must have been true after its echo. An echo that comes between the
// making of a word and its sending, as after a freeze, would make old news look young.
func TestAnEchoIsOlderThanItsWord(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := &parts{
		clock: clk, duties: &duties{}, limits: quota.New(quota.Policy{}), members: &board.Members{}, links: &topology.Links{},
		counter:  &usage.Counter{Width: time.Second, Keep: time.Second, Now: clk.Now},
		currency: &currency.Tracker{Clock: clk}, registered: &currency.Tracker{Clock: clk},
		register: &register.Register{}, scheduler: &scheduling.Scheduler{},
	}

	p.plan.Store(&topology.Plan{Relay: true, Few: true})

	const other fleet.InstanceID = "entry-2"

	p.echoes.heard(other, 1)
	p.spentSeen.heard(spentNews{Instance: other, At: 1, Parts: 1})
	wordsFor := p.makeWords(clk.Now())

	clk.Advance(10 * time.Second)
	p.echoes.heard(other, 2)
	p.spentSeen.heard(spentNews{Instance: other, At: 2, Parts: 1})

	words, err := wordsFor(other)
	if err != nil || len(words) != 1 {
		t.Fatalf("words: got %d and %v, want 1", len(words), err)
	}

	var d datagram
	if err := msgpack.Unmarshal(words[0], &d); err != nil || d.Word == nil || d.Spent == nil {
		t.Fatalf("decode: got %v, want a word and what was spent", err)
	}

	if got, want := d.Word.Echo, int64(1); got != want {
		t.Errorf("echo: got %d, want %d, which was heard before the word was made", got, want)
	}

	if got, want := d.Spent.Echo, int64(1); got != want {
		t.Errorf("echo of what was spent: got %d, want %d, which was heard before it was read", got, want)
	}

	if got, want := d.Word.At, time.Unix(1000, 0).UnixNano(); got != want {
		t.Errorf("time of the word: got %d, want %d", got, want)
	}
}
