//go:build race

package membership

// raceEnabled says whether the test runs under the race detector, which costs
// time by a factor and no concurrency is there to be checked in a Core.
const raceEnabled = true
