// Package comparison compares routing policies on one seeded stream of requests.
//
// It is a small queueing model: servers with slots, a first-come queue and a
// prefix cache; entry instances that each decide alone; load reports and cache
// events that come late, the latter with gaps; and servers that are slow. It
// has no network and no failures beyond that, and is no cluster simulator.
//
// # Usage
//
//	scenario := comparison.Scenario{Servers: 9, Entries: 9, Utilisation: 0.8, Duration: time.Minute}
//	for _, policy := range comparison.Policies() {
//		fmt.Println(comparison.Run(scenario, policy))
//	}
package comparison
