package gateway

import "monsoonlever/answer"

// keptCaller writes an answer that is followed to its caller.
type keptCaller struct {
	sink  *sink
	times *keptTimes
	id    []byte
}

var _ answer.Caller = (*keptCaller)(nil)

// Write takes the next token, with the id from which the caller can go on.
func (k *keptCaller) Write(id answer.EventID, token string) error {
	k.id = id.Append(k.id[:0])

	err := k.sink.write(k.id, id.Offset-1, token)
	k.times.begin(k.sink.firstToken)

	return err
}

// End takes the end of the answer.
func (k *keptCaller) End(e answer.Ending) error {
	if e.Refusal != nil {
		return k.sink.GiveUp(*e.Refusal)
	}

	return k.sink.Complete(answer.Complete{Reason: e.Finish, Tokens: e.Tokens, Usage: e.Usage})
}
