package claim

// outcome is the result of the call of a key. broken means that it is unknown whether the
// call ran.
type outcome struct {
	broken     bool
	bodyStored bool
	result     Result
}

func newOutcome(o outcomeRecord) *outcome {
	return &outcome{
		broken:     o.Broken,
		bodyStored: o.Kept,
		result:     Result{status: o.Status, header: o.Header, body: o.Body},
	}
}

func (o *outcome) verdict() Verdict {
	if o.broken {
		return verdictWithoutResult(Unknown, ReasonBroken, 0)
	}

	return Verdict{run: Ran, result: o.result, bodyStored: o.bodyStored}
}

// record returns the record of an outcome, without the body if it is larger than maxBody
// bytes.
func (o *outcome) record(a *attempt, maxBody int) outcomeRecord {
	r := outcomeRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Digest:     a.digest,
		Broken:     o.broken,
		Status:     o.result.status,
		Header:     o.result.header,
		Kept:       len(o.result.body) <= maxBody,
	}
	if r.Kept {
		r.Body = o.result.body
	}

	return r
}
