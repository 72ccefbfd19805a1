// Package evacuation decides which KV caches leave a backend server that will
// be reclaimed, in which order and whereto.
//
// Plan is a pure function of the notice, the streams and the targets. What is
// dearest to recompute goes first, as far as time and bandwidth reach, towards
// failure domains that the wave of reclaims is not likely to hit next.
// Coordinator is the step machine around it, which plans again at each turn,
// so that a target that gets its own notice is used no more. Desk is its shell.
//
// # Usage
//
//	desk := &evacuation.Desk{Clock: clock.System{}, Coordinator: coordinator}
//	runner := &answer.Runner{Exports: desk}
//	desk.Notice(evacuation.Notice{Server: "runner-1", Domain: "bole", At: at})
package evacuation
