package answer

import "monsoonlever/fleet"

// Picker chooses a backend server for an attempt.
type Picker interface {
	// Pick returns false if no server can be had at present.
	Pick(q Query) (Choice, bool)
}

// Query says what server an attempt needs.
type Query struct {
	Account      fleet.Account
	Model        fleet.Model
	Priority     fleet.Priority
	PromptPrefix uint64
	Exclude      []fleet.InstanceID
	// Prefer holds the KV cache of the answer, if it is set.
	Prefer fleet.InstanceID
}

// Choice is a picked server.
type Choice struct {
	Server fleet.InstanceID
	// Release is called once when the attempt has ended, with its error and the
	// number of tokens that it brought.
	Release func(err error, tokens int)
}
