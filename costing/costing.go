// Package costing accounts for money and for calls within their latency target,
// and compares ways to place instances on traces of load, prices and reclaims.
//
// Statement is what a deployment spent and met, by service and client account.
//
// Evaluate runs one planner through one scenario, a minute at a time. It models
// capacity only: calls are a fluid that ready instances serve, urgent calls are
// late at once where capacity is short, and the others once they have waited too
// long. It has no requests, caches or streams. Scenarios are made from a seed.
//
// # Usage
//
//	scenario := costing.NewScenario(costing.Kronvig(), seed)
//	for _, service := range scenario.Services {
//		result := costing.Evaluate(scenario, service, costing.NewPolicy())
//		fmt.Println(result.Money, result.LateShare())
//	}
package costing
