package gateway

import "monsoonlever/answer"

// sinkCaller writes a retained answer to the sink of its caller.
type sinkCaller struct {
	sink    *sink
	record  *answerRecord
	eventID []byte
}

var _ answer.Caller = (*sinkCaller)(nil)

// Write sends the next token with the event ID after which the caller can resume.
func (s *sinkCaller) Write(eventID answer.EventID, token string) error {
	s.eventID = eventID.Append(s.eventID[:0])

	err := s.sink.writeToken(s.eventID, eventID.Offset-1, token)
	s.record.setFirstToken(s.sink.firstToken)

	return err
}

// End sends the end of the answer.
func (s *sinkCaller) End(e answer.Ending) error {
	if e.Refusal != nil {
		return s.sink.GiveUp(*e.Refusal)
	}

	return s.sink.Complete(answer.Complete{Reason: e.Finish, Tokens: e.Tokens, Usage: e.Usage})
}
