package claim

// RunState tells whether the request of a key ran.
type RunState string

// What can be told of a request.
const (
	// Ran means that it ran; the answer is the service's.
	Ran RunState = "ran"
	// NotRun means that nothing of the key reached a backend server, and that
	// no attempt made so far ever will.
	NotRun RunState = "notRun"
	// NotStarted means that this attempt sent nothing and never will. Whether
	// another attempt with the key ran is not told.
	NotStarted RunState = "notStarted"
	// Unknown means that the request may have run, or may still run.
	Unknown RunState = "unknown"
	// KeyReused means that the key stands for another request.
	KeyReused RunState = "keyReused"
	// KeyExpired means that the key is older than the time for which keys are
	// remembered. This attempt sent nothing.
	KeyExpired RunState = "keyExpired"
)
