package forward

import (
	"time"

	"monsoonlever/quarantine"
)

// heldPartRetryAfter is the Retry-After of a request with a part that crashes servers, which is held
// off for longer than any caller waits.
const heldPartRetryAfter = 10 * time.Minute

// partKeys returns the keys of the parts of a prompt for a model engine.
func (j *job) partKeys() []quarantine.PartKey {
	if !j.route.Generative || j.forwarder.Parts == nil {
		return nil
	}

	segments := j.request.Prompt.Segments
	ids := make([]string, 0, len(segments))

	for _, segment := range segments {
		ids = append(ids, segment.ID)
	}

	return quarantine.PartKeys(j.service, ids)
}

// checkHarmful refuses a request that crashes servers, by its content or by a part of its prompt.
func (f *Forwarder) checkHarmful(j *job) *Refusal {
	if refusal := f.checkQuarantine(j); refusal != nil {
		return refusal
	}

	return f.checkParts(j)
}

// suspected reports whether servers were lost under requests with the same content, or with a part of the
// prompt.
func (j *job) suspected() bool {
	f := j.forwarder

	return f.Quarantine.Suspected(j.fingerprint) || f.Parts != nil && len(j.parts) > 0 && f.Parts.Suspected(j.parts)
}

// checkParts refuses a request with a part that crashes servers.
func (f *Forwarder) checkParts(j *job) *Refusal {
	if f.Parts == nil {
		return nil
	}

	part, held := f.Parts.Held(j.parts)
	if !held {
		return nil
	}

	return &Refusal{Reason: Quarantined, NotRun: true, RetryAfter: heldPartRetryAfter, Cause: "part " + part.String() + " of the prompt crashes servers"}
}

// recordPartsBegun records that the answer to the request began.
func (f *Forwarder) recordPartsBegun(j *job) {
	if f.Parts != nil && len(j.parts) > 0 {
		f.Parts.RecordBegin(f.Clock.Now(), j.request.ID, j.parts)
	}
}
