package load

import (
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// Options say what a run sends where.
type Options struct {
	Mix Mix
	// Targets are the callers' addresses of the entry instances, which calls
	// go to in turn, as from the platform's balancer.
	Targets []string
	// Plain are the addresses of the plain stand-ins, whose executions are checked.
	Plain []string
	// Servers are what the faults of the mix and of Faults are posted to.
	Servers []Server
	// Faults are added to those of the mix.
	Faults []FaultMix
	// Duration replaces that of the mix if it is above zero.
	Duration time.Duration
	// Rate multiplies the rates of the mix; zero is one.
	Rate float64
	Seed uint64
	// MaxInFlight bounds the calls at a time; what arrives above it is skipped
	// and counted.
	MaxInFlight int
	// Grace is how long after its deadline a call may still get its final answer.
	Grace time.Duration

	Clock  clock.Clock
	Client *http.Client
	// Expected returns the answer of the stand-in engine; nil checks only that
	// answers are whole.
	Expected ExpectedFunc
	// CheckPlain tells whether a reply is the one to a plain call; nil checks none.
	CheckPlain CheckPlainFunc
	// Progress gets a line every ProgressEvery; nil gets none.
	Progress      io.Writer
	ProgressEvery time.Duration
}

// ExpectedFunc returns the tokens of the answer to a prompt.
type ExpectedFunc func(model, prompt string, maxTokens int) []string

// CheckPlainFunc tells whether reply is the reply to a call of a plain service.
type CheckPlainFunc func(path string, body, reply []byte) bool

// Server is a stand-in that faults are posted to.
type Server struct {
	Name string `json:"name"`
	URL  string `json:"url"`
}

const (
	defaultDuration      = 30 * time.Second
	defaultMaxInFlight   = 4000
	defaultGrace         = 5 * time.Second
	defaultProgressEvery = time.Second
)

// ErrOptions is wrapped by the error of options that cannot be run.
var ErrOptions = merry.Sentinel("load options are not valid")

func (o Options) withDefaults() (Options, error) {
	if len(o.Targets) == 0 {
		return o, merry.Wrap(ErrOptions, merry.AppendMessage("no targets"))
	}

	if len(o.Mix.Calls) == 0 || len(o.Mix.Accounts) == 0 {
		return o, merry.Wrap(ErrOptions, merry.AppendMessage("mix has no calls or no accounts"))
	}

	if o.Duration <= 0 {
		o.Duration = o.Mix.Duration
	}

	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}

	if o.Rate <= 0 {
		o.Rate = 1
	}

	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}

	if o.Grace <= 0 {
		o.Grace = defaultGrace
	}

	if o.ProgressEvery <= 0 {
		o.ProgressEvery = defaultProgressEvery
	}

	if o.Clock == nil {
		o.Clock = clock.System{}
	}

	if o.Client == nil {
		o.Client = newClient(o.MaxInFlight)
	}

	return o, nil
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}
