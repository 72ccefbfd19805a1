// Package buffer bounds the memory of messages that are held in memory until they are complete, such
// as the body of a response or one event of a stream.
//
// All messages of a process share a Budget. A bound on each message alone does not bound their sum:
// some tens of long messages at the same moment exceed the memory of a small machine. A message may
// grow to a share of what is left of the budget, a quarter by default. So the more messages grow at the same time, the
// smaller each of them may be, and messages of usual size find room beside them (dynamic thresholds, as
// in switches with a shared memory). The first part of each message takes nothing from the budget, so
// that small ones pass whatever the others take.
//
// # Usage
//
//	budget := &buffer.Budget{Size: memory / 4}
//	reservation := budget.Reserve()
//	defer reservation.Release()
//	body, err := reservation.ReadAll(response, maxResponseBytes)
package buffer

import (
	"cmp"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
)

var (
	// ErrTooLong means that a message is longer than its own bound.
	ErrTooLong = merry.Sentinel("message is too long")
	// ErrExhausted means that other messages leave too little memory for one of this length.
	ErrExhausted = merry.Sentinel("too little memory is left for the message")
)

const (
	// freeBytes is the part of each message that takes nothing from the budget.
	freeBytes = 16 << 10
	// defaultShareDivisor is the inverse of the share of the rest of a budget that one message may take.
	defaultShareDivisor = 4
)

// Budget is the memory that all messages may take together. Its methods are safe for concurrent use.
type Budget struct {
	// Size is the memory in bytes.
	Size int64
	// ShareDivisor is the inverse of the share of the rest that one message may take; zero is four.
	ShareDivisor int64
	// Refusals counts how often a message was refused more memory; it may be nil.
	Refusals *metrics.Counter

	used atomic.Int64
}

// Used returns the reserved memory in bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve returns an empty reservation. A nil budget refuses nothing.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the memory of one message. It is used by one goroutine at a time.
type Reservation struct {
	budget *Budget
	// taken is the part of the budget in bytes.
	taken int64
}

// Resize sets the memory of the message in bytes. The error wraps ErrExhausted, and the reservation
// stays as it is, if other messages leave too little for a larger one.
func (r *Reservation) Resize(bytes int64) error {
	if r.budget == nil {
		return nil
	}

	wanted := max(bytes-freeBytes, 0)

	for {
		used := r.budget.used.Load()
		next := used - r.taken + wanted

		if wanted > r.taken && wanted > (r.budget.Size-next)/cmp.Or(r.budget.ShareDivisor, defaultShareDivisor) {
			if r.budget.Refusals != nil {
				r.budget.Refusals.Inc()
			}

			return merry.Prependf(ErrExhausted, "%d bytes, %d of %d are taken", bytes, used, r.budget.Size)
		}

		if r.budget.used.CompareAndSwap(used, next) {
			r.taken = wanted

			return nil
		}
	}
}

// Release returns the memory. It may be called more than once.
func (r *Reservation) Release() {
	if r.taken > 0 {
		r.budget.used.Add(-r.taken)
		r.taken = 0
	}
}
