// Package answer holds the life of one streamed model answer.
//
// A Relay is a deterministic step machine. Events of the attempts, of the
// caller and of the platform go in together with the time; commands come out.
// It forwards each token of the answer once and in order, resumes the answer
// on another backend server when an attempt fails, moves it away from a server
// that is leaving, and gives up at once when no way is left.
//
// A Runner is the thin shell that carries the commands out.
//
// # Usage
//
//	runner := &answer.Runner{Clock: clock.System{}, Pick: pick, Engines: engines}
//	result := runner.Run(ctx, request, sink)
//	if result.Whole() {
//		return
//	}
package answer
