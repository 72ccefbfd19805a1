package standin

import (
	"cmp"
	"slices"
	"sync"
)

// KeyCount counts the executions of one idempotency key.
type KeyCount struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// DigestCount counts the executions of one body.
type DigestCount struct {
	Digest uint64 `json:"digest,string"`
	Count  int    `json:"count"`
}

// Executions counts what a plain service ran.
type Executions struct {
	Total    int           `json:"total"`
	ByKey    []KeyCount    `json:"byKey"`
	ByDigest []DigestCount `json:"byDigest"`
}

// Of returns how often calls with an idempotency key ran.
func (e Executions) Of(key string) int {
	for _, c := range e.ByKey {
		if c.Key == key {
			return c.Count
		}
	}

	return 0
}

// Tally counts executions as they begin. Plain services that share one count
// each other's executions too.
type Tally struct {
	mu       sync.Mutex
	total    int
	byKey    map[string]int
	byDigest map[uint64]int
}

// add counts one execution and returns how many there were of this body.
func (t *Tally) add(key string, digest uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byDigest == nil {
		t.byKey = make(map[string]int)
		t.byDigest = make(map[uint64]int)
	}

	t.total++
	t.byDigest[digest]++

	if key != "" {
		t.byKey[key]++
	}

	return t.byDigest[digest]
}

func (t *Tally) executions() Executions {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := Executions{Total: t.total}
	for key, count := range t.byKey {
		e.ByKey = append(e.ByKey, KeyCount{Key: key, Count: count})
	}

	for digest, count := range t.byDigest {
		e.ByDigest = append(e.ByDigest, DigestCount{Digest: digest, Count: count})
	}

	slices.SortFunc(e.ByKey, func(a, b KeyCount) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(e.ByDigest, func(a, b DigestCount) int { return cmp.Compare(a.Digest, b.Digest) })

	return e
}
