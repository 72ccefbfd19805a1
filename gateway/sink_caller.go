package gateway

import "monsoonlever/answer"

// sinkCaller writes an answer that is followed to its caller.
type sinkCaller struct {
	sink    *sink
	record  *answerRecord
	eventID []byte
}

var _ answer.Caller = (*sinkCaller)(nil)

// Write takes the next token, with the id from which the caller can go on.
func (k *sinkCaller) Write(id answer.EventID, token string) error {
	k.eventID = id.Append(k.eventID[:0])

	err := k.sink.writeToken(k.eventID, id.Offset-1, token)
	k.record.setFirstToken(k.sink.firstToken)

	return err
}

// End takes the end of the answer.
func (k *sinkCaller) End(e answer.Ending) error {
	if e.Refusal != nil {
		return k.sink.GiveUp(*e.Refusal)
	}

	return k.sink.Complete(answer.Complete{Reason: e.Finish, Tokens: e.Tokens, Usage: e.Usage})
}
