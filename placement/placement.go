// Package placement decides how many instances of which class to hold in which
// failure domain, and carries that out through a cloud API that may lose responses.
//
// Plan is a pure function from the state to a decision. It covers the forecast
// at the latency target, keeps enough capacity for the loss of any one failure
// domain, avoids cells with recent refusals or reclaims, and explains the result
// in one line for each service.
//
// Reconciler brings the instances to the wanted counts. Each purchase is first
// written to the log as an intent record, and its token is derived from that
// record, so that any later holder of the controller role can retry without
// buying twice. A retirement is also a record, and a retired instance is drained before it is released.
//
// Rollout moves runners to a new model version without draining the last
// ready one, and LoadQueue limits concurrent loads from the weight store.
//
// All are deterministic: the time is an argument and commands are returned. They are not
// safe for concurrent use.
//
// # Usage
//
//	forecaster.Observe(now, load)
//	decision := placement.Plan(now, placement.State{Config: config, Services: services, Offers: offers})
//	for _, line := range decision.Explanations {
//		fmt.Println(line)
//	}
//	for _, command := range reconciler.Step(now, fence, decision.Targets, decision.Limits) {
//		perform(command)
//	}
package placement
