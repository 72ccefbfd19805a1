package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/fleet"
)

// instruments are the metrics of a gateway. The metrics of a kind of call are looked
// up once per request, by a struct key instead of a concatenated string.
type instruments struct {
	set   *metrics.Set
	open  atomic.Int64
	kinds sync.Map // of instrumentKey to *kindInstruments

	disconnected *metrics.Counter
	writeTimeout *metrics.Counter
}

// instrumentKey identifies a kind of call. Its names come from the manifest and never
// from a request, which bounds the number of label values.
type instrumentKey struct {
	service fleet.Service
	kind    fleet.CallKind
}

func newInstruments(set *metrics.Set) *instruments {
	if set == nil {
		set = metrics.NewSet()
	}

	i := &instruments{
		set:          set,
		disconnected: set.GetOrCreateCounter(`monsoonlever_callers_gone_total{cause="disconnected"}`),
		writeTimeout: set.GetOrCreateCounter(`monsoonlever_callers_gone_total{cause="writeTimeout"}`),
	}
	set.GetOrCreateGauge("monsoonlever_requests_open", func() float64 { return float64(i.open.Load()) })

	return i
}

// trackOpen counts a request as open until the returned function is called.
func (i *instruments) trackOpen() func() {
	i.open.Add(1)

	return func() { i.open.Add(-1) }
}

func (i *instruments) forKind(key instrumentKey) *kindInstruments {
	if k, ok := i.kinds.Load(key); ok {
		return k.(*kindInstruments) //nolint:errcheck,forcetypeassert // nothing else is stored
	}

	k, _ := i.kinds.LoadOrStore(key, newKindInstruments(i.set, key))

	return k.(*kindInstruments) //nolint:errcheck,forcetypeassert // nothing else is stored
}

// observe counts a finished request. A request that was refused before its kind of
// call was known is counted with empty service and kind labels.
func (i *instruments) observe(o Observation) {
	var key instrumentKey
	if o.Service != "" {
		key = instrumentKey{service: o.Service, kind: o.Kind.Name()}
	}

	i.forKind(key).observe(o)

	switch {
	case o.WriteTimedOut:
		i.writeTimeout.Inc()
	case o.CallerGone:
		i.disconnected.Inc()
	}
}

// kindInstruments are the metrics of one kind of call.
type kindInstruments struct {
	set        *metrics.Set
	labels     string
	firstToken *metrics.Histogram
	duration   *metrics.Histogram
	tokens     *metrics.Counter
	recomputed *metrics.Counter
	resumed    *metrics.Counter
	outcomes   sync.Map // of outcome to *metrics.Counter
}

func newKindInstruments(set *metrics.Set, key instrumentKey) *kindInstruments {
	labels := fmt.Sprintf("service=%q,kind=%q", string(key.service), string(key.kind))

	return &kindInstruments{
		set:        set,
		labels:     labels,
		firstToken: set.GetOrCreateHistogram("monsoonlever_first_token_seconds{" + labels + "}"),
		duration:   set.GetOrCreateHistogram("monsoonlever_request_duration_seconds{" + labels + "}"),
		tokens:     set.GetOrCreateCounter("monsoonlever_tokens_total{" + labels + "}"),
		recomputed: set.GetOrCreateCounter("monsoonlever_recomputed_tokens_total{" + labels + "}"),
		resumed:    set.GetOrCreateCounter("monsoonlever_resumed_attempts_total{" + labels + "}"),
	}
}

func (k *kindInstruments) observe(o Observation) {
	k.outcome(outcomeOf(o)).Inc()

	if o.FirstToken > 0 {
		k.firstToken.Update(o.FirstToken.Seconds())
	}

	if o.Refused == nil {
		k.duration.Update(o.Duration.Seconds())
	}

	k.tokens.Add(o.Tokens)
	k.recomputed.Add(o.Recomputed)
	k.resumed.Add(max(o.Attempts-1, 0))
}

func (k *kindInstruments) outcome(name outcome) *metrics.Counter {
	if c, ok := k.outcomes.Load(name); ok {
		return c.(*metrics.Counter) //nolint:errcheck,forcetypeassert // nothing else is stored
	}

	c := k.set.GetOrCreateCounter(fmt.Sprintf("monsoonlever_requests_total{%s,outcome=%q}", k.labels, string(name)))
	k.outcomes.Store(name, c)

	return c
}
