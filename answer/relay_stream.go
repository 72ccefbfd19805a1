package answer

import "time"

func (r *Relay) onToken(now time.Time, e Token) {
	r.kept = append(r.kept, e.Text)
	r.wakeAt = now.Add(r.Stall)
	r.out = append(r.out, Forward{Offset: e.Offset, Token: e.Text})
}

func (r *Relay) onFinished(_ time.Time, e Finished) {
	r.phase = phaseDone
	r.out = append(r.out, Complete{Reason: e.Reason, Tokens: len(r.kept), Usage: e.Usage})
}

func (r *Relay) onBroken(now time.Time, e Broken) {
	r.endAttempt(e.Err)

	if len(r.kept) > 0 {
		r.onFinished(now, Finished{Attempt: e.Attempt, Reason: "stop"})

		return
	}

	r.resume(now)
}
