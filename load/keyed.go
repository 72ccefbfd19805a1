package load

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"monsoonlever/httpclient"
	"monsoonlever/refusal"
)

// executionsPath is where a plain stand-in tells what it ran.
const executionsPath = "/executions"

// keyedCall is a call that may not be repeated, and what its caller was told.
type keyedCall struct {
	planned  planned
	finished finished
}

// executions is what a plain stand-in ran, by the digest of the body: bodies
// differ between keys, and are forwarded as they are.
type executions struct {
	ByDigest []digestCount `json:"byDigest"`
}

type digestCount struct {
	Digest uint64 `json:"digest,string"`
	Count  int    `json:"count"`
}

// checkKeys compares what ran with what callers were told.
func (r *runner) checkKeys(ctx context.Context) KeyResult {
	counts, err := r.executions(ctx)

	r.mu.Lock()
	defer r.mu.Unlock()

	result := KeyResult{Checked: err == nil && len(r.options.Plain) > 0, Sent: len(r.keyed)}

	for i := range r.keyed {
		r.checkKey(&result, &r.keyed[i], counts[xxhash.Sum64(r.keyed[i].planned.body)])
	}

	return result
}

func (r *runner) checkKey(result *KeyResult, k *keyedCall, ran int) {
	p, f := &k.planned, &k.finished

	if ran > 0 {
		result.Executed++
	}

	if ran > 1 {
		result.Twice++
		r.breach(newBreach(RanTwice, p, "ran "+strconv.Itoa(ran)+" times"))
	}

	switch {
	case f.ending == Answered:
		result.Confirmed++

		// A server that could not be asked may have run it.
		if ran == 0 && result.Checked {
			r.breach(newBreach(NeverRan, p, "answered, but no service ran it"))
		}
	case k.saidNotRun():
		if ran > 0 {
			result.Untrue++
			r.breach(newBreach(RanThoughRefused, p, "told "+string(f.run)+" by "+string(f.code)))
		}
	default:
		result.Unknown++
	}
}

// saidNotRun tells whether the caller may take it that the call did not run:
// it was told so, or that its only attempt was not started.
func (k *keyedCall) saidNotRun() bool {
	if k.finished.ending != Refused {
		return false
	}

	return k.finished.run == refusal.NotRun || k.finished.attempts == 1
}

// watchKeys asks the plain stand-ins from time to time, so that what one ran is
// known though it is reclaimed before the end.
func (r *runner) watchKeys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.options.Clock.After(r.options.ProgressEvery):
		}

		for i := range r.plain {
			// One that cannot be asked stays as it was last seen.
			_ = r.askPlain(ctx, &r.plain[i])
		}
	}
}

// plainServer is a plain stand-in and what it was last seen to have run.
type plainServer struct {
	address string
	seen    []digestCount
}

func (r *runner) askPlain(ctx context.Context, p *plainServer) error {
	e, err := r.executionsOf(ctx, p.address)
	if err != nil {
		return err
	}

	p.seen = e.ByDigest

	return nil
}

// executions adds up what all plain stand-ins ran. If one could not be asked
// it is counted as last seen, and the error says so.
func (r *runner) executions(ctx context.Context) (map[uint64]int, error) {
	counts := make(map[uint64]int)

	var failed error

	for i := range r.plain {
		if err := r.askPlain(ctx, &r.plain[i]); err != nil {
			failed = merry.Prependf(err, "executions of %s", r.plain[i].address)
		}

		for _, c := range r.plain[i].seen {
			counts[c.Digest] += c.Count
		}
	}

	return counts, failed
}

func (r *runner) executionsOf(ctx context.Context, address string) (executions, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Grace)
	defer cancel()

	response, err := httpclient.New("http://"+address, r.options.Client).
		Send(ctx, http.MethodGet, executionsPath, nil, nil)
	if err != nil {
		return executions{}, err
	}

	defer func() { _ = response.Body.Close() }()

	var e executions
	if response.StatusCode != http.StatusOK {
		return e, merry.Errorf("status %s", response.Status)
	}

	return e, json.NewDecoder(response.Body).Decode(&e)
}
