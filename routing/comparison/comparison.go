// Package comparison compares routing policies on one seeded stream of requests.
//
// It simulates a small queueing model: servers with slots, a first-in, first-out
// queue and a prefix cache; entry instances that choose independently; load
// reports and cache events that lag, of which some cache events are lost; and slow
// servers. The model has no network and no other failures; it isn't a cluster
// simulator.
//
// # Usage
//
//	scenario := comparison.Scenario{Servers: 9, Entries: 9, Utilisation: 0.8, Duration: time.Minute}
//	for _, policy := range comparison.Policies() {
//		fmt.Println(comparison.Run(scenario, policy))
//	}
package comparison
