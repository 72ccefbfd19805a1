package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/resumption"
	"monsoonlever/rollout"
	"monsoonlever/ruleset"
)

// Origins remembers which server version began each stream, at all instances.
type Origins interface {
	// Begun records that a stream began, or goes on, at the version of its origin, and that its
	// caller may resume it for a lifetime.
	Begun(s resumption.Stream, o resumption.Origin, lifetime time.Duration)
	// Origin returns where a stream began.
	Origin(ctx context.Context, s resumption.Stream) (resumption.Origin, error)
}

// minStreamLifetime is the shortest time for which a stream may be resumed. Callers that return
// may name another timeout than at first.
const minStreamLifetime = time.Minute

// resumes reports whether the caller has a part of a stream.
func (r *Request) resumes() bool { return r.ResumeAfter != "" || r.Resumes != "" }

// streamOf returns the stream of a request: the one that the caller resumes, or the one that it
// begins.
func (j *job) streamOf() resumption.Stream {
	s := resumption.Stream{Content: j.fingerprint, Attempt: resumption.AttemptOf(j.request.Resumes)}
	if s.Attempt == 0 && j.request.ResumeAfter == "" {
		s.Attempt = resumption.AttemptOf(j.request.ID)
	}

	return s
}

// bindVersion binds a request that resumes a stream to the version that began the stream. Events of
// two versions don't fit together, so that a stream of an unknown version is refused.
func (f *Forwarder) bindVersion(ctx context.Context, j *job) *Refusal {
	if f.Origins == nil || j.route.Kind != ruleset.Streaming || !j.request.resumes() {
		return nil
	}

	origin, err := f.Origins.Origin(ctx, j.streamOf())
	if err != nil {
		return &Refusal{Reason: UnknownStream, NotRun: true, RetryAfter: unavailableRetryAfter + rand.N(unavailableRetryAfter), Cause: err.Error()}
	}

	if !j.route.HasTarget(origin.Service) {
		return &Refusal{Reason: NoServer, NotRun: true, RetryAfter: unavailableRetryAfter, Cause: "route has left the service of the stream"}
	}

	j.service, j.version, j.resumed = origin.Service, origin.Version, true

	return nil
}

// recordOrigin records which version began the stream, once its first event was received from a
// server of a version.
func (f *Forwarder) recordOrigin(j *job, version fleet.Version, sink Sink) {
	if j.stream.events > 1 || version == "" {
		return
	}

	j.version = version
	sink.StreamVersion(version)

	if f.Origins != nil {
		f.Origins.Begun(j.streamOf(), resumption.Origin{Service: j.service, Version: version}, max(j.timeout(), j.request.Timeout, minStreamLifetime))
	}
}

// bound reports whether the request may be sent to servers of one version only.
func (j *job) bound() bool { return j.version != "" }

// boundChoice returns the choice of a stream that goes on at its version. While a new version is on
// trial, no more streams go on there than the trial allows to begin.
func (j *job) boundChoice() rollout.Choice {
	choice := rollout.Choice{Only: j.version, ServerShare: 1}

	if f := j.forwarder; f.Versions != nil {
		choice.Avoid = f.Versions.Avoided(f.Clock.Now(), j.service, j.version)
	}

	return choice
}
