package load

import (
	"time"

	"monsoonlever/document"
	"monsoonlever/finding"
	"monsoonlever/fleet"
)

// Mix is the content of a mix file: who calls what, how often.
type Mix struct {
	Name string `json:"name"`
	// Duration is how long calls arrive, unless the command line says otherwise.
	Duration time.Duration `json:"duration"`
	Accounts []AccountMix  `json:"accounts"`
	Calls    []CallMix     `json:"calls"`
	Faults   []FaultMix    `json:"faults"`
}

// AccountMix is one client account of a mix.
type AccountMix struct {
	Account fleet.Account `json:"account"`
	// Key is the account's key; the default is that of the demo manifests.
	Key string `json:"key"`
	// Share is the account's part of the calls, against the other shares.
	Share float64 `json:"share"`
}

// CallMix is one kind of call. It has either a model or a method.
type CallMix struct {
	Service   fleet.Service  `json:"service"`
	Kind      fleet.CallKind `json:"kind"`
	PerSecond float64        `json:"perSecond"`
	Model     ModelMix       `json:"model"`
	Plain     PlainMix       `json:"plain"`
	// Timeout is told to the server, as a deadline if AsDeadline is set.
	Timeout    time.Duration `json:"timeout"`
	AsDeadline bool          `json:"asDeadline"`
	// Priority is told to the server if it is above zero.
	Priority  int          `json:"priority"`
	Objective ObjectiveMix `json:"objective"`
}

// ModelMix is what a model call asks for.
type ModelMix struct {
	Model fleet.Model `json:"model"`
	// PromptWords and MaxTokens are drawn for each call.
	PromptWords Range `json:"promptWords"`
	MaxTokens   Range `json:"maxTokens"`
	// SharedPrefixes is how many prompt beginnings of PrefixWords words the
	// calls have in common.
	SharedPrefixes int `json:"sharedPrefixes"`
	PrefixWords    int `json:"prefixWords"`
	// Streamed is the part of the calls that ask for a stream.
	Streamed float64 `json:"streamed"`
}

// PlainMix is what a call of a plain service asks for.
type PlainMix struct {
	Method string `json:"method"`
	// Path holds {id} where the number of the call goes.
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
	// Keyed calls may not be repeated and have an idempotency key.
	Keyed bool `json:"keyed"`
	// Attempts is how often a keyed call is sent with its key while its outcome
	// is unknown.
	Attempts int `json:"attempts"`
}

// ObjectiveMix is what the callers hope for.
type ObjectiveMix struct {
	FirstToken    time.Duration `json:"firstToken"`
	BetweenTokens time.Duration `json:"betweenTokens"`
	Whole         time.Duration `json:"whole"`
	Part          float64       `json:"part"`
}

// Range is a skewed distribution: half of the draws are between Min and
// Median, the other half between Median and Max.
type Range struct {
	Min    int `json:"min"`
	Median int `json:"median"`
	Max    int `json:"max"`
}

// FaultMix posts Body to a stand-in at a time of the run.
type FaultMix struct {
	At time.Duration `json:"at"`
	// Server is the name of a server in the options, and Path the path there.
	Server string `json:"server"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// demoKeyPrefix and the name of an account are its key in the demo manifests.
const demoKeyPrefix = "demo-key-"

// ReadMix reads a mix file and reports all that is wrong with it.
func ReadMix(file string, data []byte) (Mix, error) {
	var (
		m Mix
		l finding.List
	)

	d := document.Decode(file, data, &m, &l)
	m.check(d, &l)

	return m, l.Err()
}

func (c *CallMix) isModel() bool {
	return c.Model.Model != ""
}

func (a *AccountMix) key() string {
	if a.Key != "" {
		return a.Key
	}

	return demoKeyPrefix + string(a.Account)
}
