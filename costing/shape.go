package costing

// Shape is how the load of a service moves over a day.
type Shape string

// The shapes of load.
const (
	Steady Shape = "steady"
	// PaymentRun triples within 15 minutes, twice a day, as a run closes.
	PaymentRun Shape = "paymentRun"
	// MarkingCycle doubles for some hours once a day.
	MarkingCycle Shape = "markingCycle"
)
