package load

// Ending is how one call ended.
type Ending string

// The endings.
const (
	// Answered calls got the whole answer that was expected.
	Answered Ending = "answered"
	// Wrong calls got a whole answer that is another's or is not right.
	Wrong Ending = "wrong"
	// Cut calls got the beginning of an answer.
	Cut Ending = "cut"
	// Refused calls were told that they did not run.
	Refused Ending = "refused"
	// Failed calls were told that they failed, or that it is unknown.
	Failed Ending = "failed"
	// Lost calls were sent, and the connection ended without a word.
	Lost Ending = "lost"
	// Unreached calls found no entry instance to connect to.
	Unreached Ending = "unreached"
	// Unanswered calls got no final answer by their deadline and the grace.
	Unanswered Ending = "unanswered"
)
