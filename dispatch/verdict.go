package dispatch

import (
	"net/http"

	"monsoonlever/backend"
	"monsoonlever/claim"
	"monsoonlever/refusal"
)

// StoredHeaders are the header fields of a reply that are stored with the outcome of its
// call.
var StoredHeaders = []string{"Content-Type", "Content-Language", "Location"}

func resultOf(r backend.Reply) claim.Result {
	fields := make([]claim.Field, 0, len(r.Header))

	for name, values := range r.Header {
		for _, value := range values {
			fields = append(fields, claim.Field{Name: name, Value: value})
		}
	}

	return claim.NewResult(r.Status, fields, r.Body)
}

// replyOf returns the reply or the refusal for the verdict on a claimed call.
func replyOf(v claim.Verdict) (backend.Reply, *refusal.Refusal) {
	if v.Run() != claim.Ran {
		return backend.Reply{}, refusalOfVerdict(v)
	}

	if !v.BodyStored() {
		return backend.Reply{}, refusal.New(refusal.AnswerNotKept, "the call ran with status %d", v.Result().Status())
	}

	header := http.Header{}
	for _, f := range v.Result().Header() {
		header.Add(f.Name, f.Value)
	}

	return backend.Reply{Status: v.Result().Status(), Header: header, Body: v.Result().Body()}, nil
}

func refusalOfVerdict(v claim.Verdict) *refusal.Refusal {
	code := refusal.OutcomeUnknown
	run := refusal.Unknown

	switch v.Run() {
	case claim.NotRun:
		code, run = codeNotStarted(v.Reason()), refusal.NotRun
	case claim.NotStarted:
		code, run = codeNotStarted(v.Reason()), refusal.NotStarted
	case claim.KeyReused:
		code, run = refusal.KeyReused, refusal.NotStarted
	case claim.KeyExpired:
		code = refusal.KeyExpired
	case claim.Unknown:
		code = codeUnknown(v.Reason())
	case claim.Ran:
	}

	return refusal.New(code, "%s", v.Reason()).WithRun(run).WithRetryAfter(v.RetryAfter())
}

// codeNotStarted returns the code of a call that this attempt did not send.
func codeNotStarted(reason claim.Reason) refusal.Code {
	switch reason {
	case claim.ReasonDeadline, claim.ReasonCanceled:
		return refusal.DeadlinePassed
	case claim.ReasonOverloaded:
		return refusal.Overloaded
	case claim.ReasonNotReady:
		return refusal.NotReady
	case claim.ReasonDeclined:
		return refusal.ServerRefused
	case claim.ReasonVoided:
		return refusal.InProgress
	default:
		return refusal.LogUnavailable
	}
}

// codeUnknown returns the code of a call that may have run.
func codeUnknown(reason claim.Reason) refusal.Code {
	if reason == claim.ReasonDeadline {
		return refusal.InProgress
	}

	return refusal.OutcomeUnknown
}
