// Package load sends the load of a mix file to entry instances and checks what
// comes back.
//
// The load is open: each kind of call arrives by a seeded Poisson process,
// whether or not earlier calls were answered, and latency counts from the time
// a call was scheduled. Every model answer is compared with the one expected,
// and at the end the executions of plain services are compared with what the
// callers were told. A Result tells which promises were broken.
//
// # Usage
//
//	mix, err := load.ReadMix("examples/kronvig.mix.jsonc", data)
//	result, err := load.Run(ctx, load.Options{
//		Mix: mix, Targets: []string{"10.0.0.1:8080"}, Duration: time.Minute,
//		Clock: clock.System{}, Expected: standin.ExpectedAnswer, Progress: os.Stderr,
//	})
//	err = result.WriteTable(os.Stdout)
//	if !result.Kept() {
//		os.Exit(1)
//	}
package load
