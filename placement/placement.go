// Package placement decides how many instances of which class to hold in which
// failure domain, and carries that out against a cloud API that loses answers.
//
// Plan is a pure function from the state to a decision. It covers the forecast
// at the latency target, keeps enough for the loss of any one failure domain at
// once, avoids what was refused or reclaimed of late, and gives one line a
// service that says why.
//
// Reconciler makes the wanted counts true. Each purchase is an intent record on
// the log first, and its token is derived from that record, so that any later
// holder of the controller role can ask again without buying twice. Retirement
// is a record too, and a retired instance is drained before it is released.
//
// Rollout moves runners to a new model version without taking the last ready
// one, and LoadQueue shares the rate of the weight store.
//
// All are deterministic: the time goes in and commands come out. They are not
// safe for concurrent use.
//
// # Usage
//
//	forecaster.Observe(now, load)
//	decision := placement.Plan(now, placement.State{Config: config, Services: services, Offers: offers})
//	for _, line := range decision.Lines {
//		fmt.Println(line)
//	}
//	for _, command := range reconciler.Step(now, fence, decision.Targets) {
//		perform(command)
//	}
package placement
