package answer

type phase int

const (
	// phaseRunning has an attempt that was dispatched.
	phaseRunning phase = iota
	// phaseWaiting has none, because no server could be picked.
	phaseWaiting
	phaseDone
)
