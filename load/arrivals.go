package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/chat"
	"monsoonlever/fleet"
)

// arrivals draws the calls of one kind. All draws come from one seed, so a run
// with the same seed and mix sends the same calls at the same times.
type arrivals struct {
	call     *CallMix
	accounts []AccountMix
	shares   float64
	random   *rand.Rand
	perSec   float64
	run      string
	next     time.Duration
	number   int
}

// planned is one call before it is sent.
type planned struct {
	call    *CallMix
	account fleet.Account
	key     string
	// at is when the call is due, from the start of the run.
	at     time.Duration
	path   string
	body   []byte
	idem   string
	model  chat.Request
	target int
}

func newArrivals(m *Mix, call *CallMix, o *Options, run string) *arrivals {
	a := &arrivals{
		call:     call,
		accounts: m.Accounts,
		random:   rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(call.Service)+"/"+string(call.Kind)))),
		perSec:   call.PerSecond * o.Rate,
		run:      run,
	}

	for _, account := range m.Accounts {
		a.shares += account.Share
	}

	a.advance()

	return a
}

func (a *arrivals) advance() {
	a.next += time.Duration(a.random.ExpFloat64() / a.perSec * float64(time.Second))
}

// draw returns the call that is due next.
func (a *arrivals) draw() planned {
	account := a.drawAccount()
	a.number++
	p := planned{call: a.call, account: account.Account, key: account.key(), at: a.next, target: a.random.Int()}
	a.advance()

	if a.call.isModel() {
		p.path = chatPath
		p.model = a.drawModel()
	} else {
		a.drawPlain(&p)
	}

	return p
}

func (a *arrivals) drawAccount() *AccountMix {
	at := a.random.Float64() * a.shares

	for i := range a.accounts {
		at -= a.accounts[i].Share
		if at < 0 {
			return &a.accounts[i]
		}
	}

	return &a.accounts[len(a.accounts)-1]
}

func (a *arrivals) drawModel() chat.Request {
	m := a.call.Model

	return chat.Request{
		Model:     string(m.Model),
		Messages:  []chat.Message{{Role: "user", Content: chat.Content(a.drawPrompt())}},
		Stream:    a.random.Float64() < m.Streamed,
		MaxTokens: m.MaxTokens.draw(a.random),
	}
}

func (a *arrivals) drawPrompt() string {
	m := a.call.Model
	words := m.PromptWords.draw(a.random)

	var b strings.Builder

	if m.SharedPrefixes > 0 {
		prefix := a.random.IntN(m.SharedPrefixes)
		for i := range m.PrefixWords {
			writeWord(&b, prefix*m.PrefixWords+i)
		}
	}

	b.WriteString(a.run + " " + string(a.call.Kind) + " " + strconv.Itoa(a.number))

	for range words {
		writeWord(&b, a.random.IntN(vocabulary))
	}

	return b.String()
}

const vocabulary = 4096

func writeWord(b *strings.Builder, n int) {
	b.WriteString(" w")
	b.WriteString(strconv.Itoa(n))
}

func (a *arrivals) drawPlain(p *planned) {
	plain := a.call.Plain
	id := string(a.call.Kind) + "-" + a.run + "-" + strconv.Itoa(a.number)
	p.path = servicesPath + string(a.call.Service) + strings.ReplaceAll(plain.Path, "{id}", id)

	if plain.BodyBytes > 0 {
		filler := strings.Repeat("x", max(plain.BodyBytes-len(id), 0))
		p.body = []byte(`{"id":"` + id + `","filler":"` + filler + `"}`)
	}

	if plain.Keyed {
		p.idem = id
	}
}

func (r Range) draw(random *rand.Rand) int {
	low, high, at := float64(r.Min), float64(r.Median), random.Float64()*2

	if at >= 1 {
		low, high, at = float64(r.Median), float64(r.Max), at-1
	}

	return int(low * math.Pow(high/low, at))
}
