package answer

import (
	"time"

	"monsoonlever/backend"
)

// onToken forwards only the current attempt's token at the next offset.
func (r *Relay) onToken(now time.Time, e Token) {
	if !r.isCurrent(e.Attempt) {
		r.countForeign(e.Attempt)

		return
	}

	if e.Offset < len(r.kept) {
		r.drops.Repeated++

		return
	}

	if e.Offset > len(r.kept) {
		r.fail(now)

		return
	}

	r.kept = append(r.kept, e.Text)
	r.wakeAt = now.Add(r.Limits.Stall)
	r.forward = Forward{Offset: e.Offset, Token: e.Text}
	r.out = append(r.out, &r.forward)
}

// onFinished completes the answer if the finish event agrees with the tokens.
func (r *Relay) onFinished(now time.Time, e Finished) {
	if !r.isCurrent(e.Attempt) {
		r.countForeign(e.Attempt)

		return
	}

	if e.Offset != len(r.kept) || e.Reason == "" {
		r.fail(now)

		return
	}

	r.phase = phaseDone
	r.out = append(r.out, Complete{Reason: e.Reason, Tokens: len(r.kept), Usage: e.Usage})
}

func (r *Relay) onBroken(now time.Time, e Broken) {
	if !r.isCurrent(e.Attempt) {
		return
	}

	r.endAttempt(e.Err)
	r.resume(now)
}

// fail ends an attempt whose stream contradicts itself.
func (r *Relay) fail(now time.Time) {
	r.abandonFor(backend.ErrMalformedEvent)
	r.resume(now)
}
