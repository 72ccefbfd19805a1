package claim

// RunState is what is known about the execution of a key's request.
type RunState string

// Execution states of a request.
const (
	// Ran means that the request ran and that its result is the service's response.
	Ran RunState = "ran"
	// NotRun means that no backend server ran a request with the key, and that none of the
	// attempts made so far ever will run.
	NotRun RunState = "notRun"
	// NotStarted means that this attempt did not run and never will. Another attempt with
	// the key may have run.
	NotStarted RunState = "notStarted"
	// Unknown means that the request may have run, or may still run.
	Unknown RunState = "unknown"
	// KeyReused means that the key was used before for a request with another digest.
	KeyReused RunState = "keyReused"
	// KeyExpired means that the key is older than the window for which keys are retained.
	// This attempt sent nothing.
	KeyExpired RunState = "keyExpired"
)
