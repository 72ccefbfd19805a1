package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

const (
	keptAttempts = 256
	keptKVs      = 256
)

// Engine is a fake of a model engine. Its answers are those of ExpectedAnswer.
// Set the exported fields before Handler is called.
type Engine struct {
	Clock  clock.Clock
	Faults *Faults
	// Ledger may be shared by engines; see WorkLedger.
	Ledger *WorkLedger
	// Client carries KV caches to other engines.
	Client *http.Client
	// Weights is where models are loaded from; nil loads them at once.
	Weights provider.WeightStore

	Model   fleet.Model
	Version fleet.ModelVersion
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool

	// Slots attempts run at a time, Queue more wait, and the rest is refused.
	Slots int
	Queue int
	// FullRate is how many attempts run before they slow each other down.
	FullRate int
	// TokenInterval is the time for a token of each attempt at the full rate.
	TokenInterval time.Duration
	// PrefillPerToken is the time for each token that is not cached.
	PrefillPerToken time.Duration
	// KVPerToken is the time to import the KV cache of one token.
	KVPerToken time.Duration
	// CacheBlocks bounds the cache of prompt prefixes.
	CacheBlocks int
	// CacheEventDelay is how late cache events are seen, and every
	// CacheEventGap-th is lost, if above zero.
	CacheEventDelay time.Duration
	CacheEventGap   uint64
	// LoadLag is how old a load report is.
	LoadLag time.Duration

	once  sync.Once
	slots *slots
	cache *prefixCache
	usage usageCounter
	pipe  pipe
	loads conc.WaitGroup

	mu       sync.Mutex
	state    backend.EngineState
	changes  int
	loading  bool
	attempts *bounded[backend.AttemptID, *attempt]
	kvs      *bounded[string, kvCache]
}

// NewEngine returns an engine that answers at once.
func NewEngine(c clock.Clock) *Engine {
	return &Engine{
		Clock:       c,
		Faults:      NewFaults(c),
		Ledger:      NewWorkLedger(),
		Client:      &http.Client{},
		Slots:       64,
		Queue:       256,
		FullRate:    16,
		CacheBlocks: 4096,
		attempts:    newBounded[backend.AttemptID, *attempt](keptAttempts),
		kvs:         newBounded[string, kvCache](keptKVs),
	}
}

// prepare takes over the exported fields.
func (e *Engine) prepare() {
	e.slots = newSlots(e.Clock, e.LoadLag, e.Slots, e.Queue)
	e.cache = newPrefixCache(e.Clock, e.CacheBlocks, e.CacheEventDelay, e.CacheEventGap)
	e.state = backend.EngineState{
		Model:       e.Model,
		Version:     e.Version,
		Ready:       true,
		ChecksFence: e.ChecksFence,
	}
}

// Usage returns the tokens of all attempts so far.
func (e *Engine) Usage() UsageTotals {
	return e.usage.get()
}

// State returns what the engine holds at present.
func (e *Engine) State() backend.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state
}
