package ratelimit

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/register"
)

// BenchmarkHandleRequest measures one permit request at the granter, including the decoding of
// the request and the encoding of the response.
func BenchmarkHandleRequest(b *testing.B) {
	leaders := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	server := register.Process{ID: "i-0123456789", Incarnation: 1_790_000_000_123}
	self := RankLeaders(server, leaders)[0]
	limiter := &Limiter{Self: self, Clock: clock.NewSteady(), Announcements: &announcementStore{}, Granter: &Granter{Self: self}}
	limiter.Granter.SetLeaders(limiter.Clock.Now(), leaders)

	message, err := msgpack.Marshal(&PermitRequest{
		From: "entry-9", Number: 1, Server: server, Rate: 1.5, Age: time.Second, Patience: time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}

	b.ReportMetric(float64(len(message)), "request-B")

	for b.Loop() {
		var request PermitRequest
		if err := codec.Unmarshal(message, &request); err != nil {
			b.Fatal(err)
		}

		response := limiter.HandleRequest(request)
		if _, err := msgpack.Marshal(&response); err != nil {
			b.Fatal(err)
		}
	}
}
