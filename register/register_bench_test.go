package register

import (
	"fmt"
	"testing"

	"monsoonlever/fleet"
)

// Applying one change copies the list of servers, but sorts none and digests only the changed
// server.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, n := range []int{60, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var (
				r       Register
				changes []Change
			)

			for i := range n {
				id := fleet.InstanceID(fmt.Sprintf("i-%010x", i))
				changes = append(changes, Change{ID: id, Version: 1, Server: &Server{
					ID: id, Incarnation: 1, Service: "llm", Domain: "a", Address: "10.0.0.1:80",
				}})
			}

			r.Replace(changes)

			for i := 0; b.Loop(); i++ {
				one := changes[i%n]
				one.Version = uint64(i + 2)
				server := *one.Server
				server.Slots = i
				one.Server = &server
				r.Apply([]Change{one})
			}
		})
	}
}
