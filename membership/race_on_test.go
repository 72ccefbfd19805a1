//go:build race

package membership

// raceEnabled reports whether the race detector is on. TestScale then runs only
// small fleets and skips the CPU bound: the detector slows it down many times, and
// a Core has no concurrency to check.
const raceEnabled = true
