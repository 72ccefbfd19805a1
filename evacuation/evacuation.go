// Package evacuation decides which KV caches are exported from a backend server
// before it is reclaimed, in which order and to which target.
//
// [Planner.Plan] is a pure function of the notice, the streams, the targets and
// the wave of reclaims. It exports the caches that are most expensive to
// recompute first, as far as time and bandwidth allow, and prefers targets in
// failure domains that are least likely to be reclaimed next. [Coordinator] is
// the state machine that plans again before every export, so that a target
// that gets a reclaim notice itself is no longer used. [ExportScheduler] runs
// a Coordinator on a clock.
//
// # Usage
//
//	exports := &evacuation.ExportScheduler{Clock: clock.System{}, Coordinator: coordinator}
//	runner := &answer.Runner{Exports: exports}
//	exports.Notice(evacuation.Notice{Server: "runner-1", Domain: "bole", At: at})
package evacuation
